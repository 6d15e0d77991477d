#ifndef MEDLARMOOR_OBJECTS_STORED_ITEM_HPP
#define MEDLARMOOR_OBJECTS_STORED_ITEM_HPP

#include <optional>
#include <string>

namespace medlarmoor::objects {

/// One object of a collection as a list or a watch gave it.
template <typename Item> struct StoredItem {
  std::string Name_;
  /// Nothing when the object was deleted or can't be read.
  std::optional<Item> Value_;
  /// Why the object can't be read; empty when it was deleted or is fine.
  std::string Problem_;
};

} // namespace medlarmoor::objects

#endif // MEDLARMOOR_OBJECTS_STORED_ITEM_HPP
