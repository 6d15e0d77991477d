#ifndef MEDLARMOOR_EDGE_FRESHNESS_HPP
#define MEDLARMOOR_EDGE_FRESHNESS_HPP

#include <medlarmoor/core/time.hpp>

#include <optional>

namespace medlarmoor::edge {

/// Which of an instance's collections are recent enough to refuse a flow on
/// their basis, and whether the instance has been paused.
struct Freshness {
  bool RoutesCurrent_ = false;
  bool UpstreamsCurrent_ = false;
  /// The process has just been paused, so that recent upstreams are about to be
  /// read.
  bool Resuming_ = false;
  /// End of the last pause.
  std::optional<TimePoint> ResumedAt_{};
  /// The packet may have waited in the socket during the pause.
  bool Backlogged_ = false;
  /// The packet has waited in this instance, or the instance is stopping: a SYN
  /// must not wait any longer.
  bool Delayed_ = false;
  /// Also true if this instance does not read evacuations.
  bool EvacuationsCurrent_ = true;

  /// Returns true if both lists that determine the candidates are recent.
  [[nodiscard]] bool candidatesCurrent() const noexcept {
    return UpstreamsCurrent_ && EvacuationsCurrent_;
  }
};

} // namespace medlarmoor::edge

#endif // MEDLARMOOR_EDGE_FRESHNESS_HPP
