#ifndef MEDLARMOOR_EDGE_FRESHNESS_HPP
#define MEDLARMOOR_EDGE_FRESHNESS_HPP

namespace medlarmoor::edge {

/// Which of an instance's collections are recent enough to refuse a flow on
/// their basis.
struct Freshness {
  bool RoutesCurrent_ = false;
  bool UpstreamsCurrent_ = false;
  /// The process has just been paused, so that recent upstreams are about to be
  /// read.
  bool Resuming_ = false;
};

} // namespace medlarmoor::edge

#endif // MEDLARMOOR_EDGE_FRESHNESS_HPP
