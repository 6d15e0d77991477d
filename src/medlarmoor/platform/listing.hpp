#ifndef MEDLARMOOR_PLATFORM_LISTING_HPP
#define MEDLARMOOR_PLATFORM_LISTING_HPP

#include <medlarmoor/platform/object.hpp>

#include <vector>

namespace medlarmoor::platform {

/// Objects of one kind as of a revision of the store.
struct Listing {
  /// A watch that starts after this revision misses no change.
  std::uint64_t Revision_ = 0;
  std::vector<Object> Items_;
};

} // namespace medlarmoor::platform

#endif // MEDLARMOOR_PLATFORM_LISTING_HPP
