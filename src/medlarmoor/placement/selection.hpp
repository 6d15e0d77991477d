#ifndef MEDLARMOOR_PLACEMENT_SELECTION_HPP
#define MEDLARMOOR_PLACEMENT_SELECTION_HPP

#include <medlarmoor/discovery/fwd.hpp>

namespace medlarmoor::placement {

/// The result of selecting an upstream.
struct Selection {
  /// Null if there is no candidate, or none that may take a flow.
  const discovery::CatalogEntry *Upstream_ = nullptr;
  /// True if there are candidates but each one is at its concurrency limit or
  /// has used up its warm-up limit. Upstream_ is then the one with the lowest
  /// cost of those at the concurrency limit.
  bool Saturated_ = false;
};

} // namespace medlarmoor::placement

#endif // MEDLARMOOR_PLACEMENT_SELECTION_HPP
