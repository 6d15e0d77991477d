#ifndef MEDLARMOOR_PLATFORM_LISTING_HPP
#define MEDLARMOOR_PLATFORM_LISTING_HPP

#include <medlarmoor/core/store_revision.hpp>
#include <medlarmoor/platform/object.hpp>

#include <vector>

namespace medlarmoor::platform {

/// Objects of one kind as of a revision of the store.
struct Listing {
  /// A watch that starts after this revision misses no change.
  StoreRevision Revision_;
  std::vector<Object> Items_;
};

} // namespace medlarmoor::platform

#endif // MEDLARMOOR_PLATFORM_LISTING_HPP
