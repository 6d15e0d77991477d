#ifndef MEDLARMOOR_OBJECTS_PAGE_HPP
#define MEDLARMOOR_OBJECTS_PAGE_HPP

#include <medlarmoor/objects/stored_item.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace medlarmoor::objects {

/// What one list or watch call gave.
template <typename Item> struct Page {
  std::vector<StoredItem<Item>> Items_;
  /// The list goes on after LastName_.
  bool More_ = false;
  std::string LastName_;
  /// A watch from this revision misses nothing.
  std::uint64_t Revision_ = 0;
};

} // namespace medlarmoor::objects

#endif // MEDLARMOOR_OBJECTS_PAGE_HPP
