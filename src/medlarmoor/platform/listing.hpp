#ifndef MEDLARMOOR_PLATFORM_LISTING_HPP
#define MEDLARMOOR_PLATFORM_LISTING_HPP

#include <medlarmoor/platform/object.hpp>

#include <vector>

namespace medlarmoor::platform {

/// Objects of one kind as they stood at a revision of the store.
struct Listing {
  /// A watch that starts after this revision misses nothing.
  std::uint64_t Revision_ = 0;
  std::vector<Object> Items_;
};

} // namespace medlarmoor::platform

#endif // MEDLARMOOR_PLATFORM_LISTING_HPP
