#ifndef MEDLARMOOR_OBJECTS_PAGE_HPP
#define MEDLARMOOR_OBJECTS_PAGE_HPP

#include <medlarmoor/objects/stored_item.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace medlarmoor::objects {

/// The result of one list or watch call.
template <typename Item> struct Page {
  std::vector<StoredItem<Item>> Items_;
  /// True if the list continues after LastName_.
  bool More_ = false;
  std::string LastName_;
  /// A watch that starts after the revision with this number misses no change.
  std::uint64_t Revision_ = 0;
};

} // namespace medlarmoor::objects

#endif // MEDLARMOOR_OBJECTS_PAGE_HPP
