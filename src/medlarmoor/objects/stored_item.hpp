#ifndef MEDLARMOOR_OBJECTS_STORED_ITEM_HPP
#define MEDLARMOOR_OBJECTS_STORED_ITEM_HPP

#include <optional>
#include <string>

namespace medlarmoor::objects {

/// One object of a collection, as returned by a list or a watch.
template <typename Item> struct StoredItem {
  std::string Name_;
  /// No value if the object was deleted or is invalid.
  std::optional<Item> Value_;
  /// Why the object is invalid; empty if it was deleted or is valid.
  std::string Error_;
};

} // namespace medlarmoor::objects

#endif // MEDLARMOOR_OBJECTS_STORED_ITEM_HPP
