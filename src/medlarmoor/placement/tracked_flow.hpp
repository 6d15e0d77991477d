#ifndef MEDLARMOOR_PLACEMENT_TRACKED_FLOW_HPP
#define MEDLARMOOR_PLACEMENT_TRACKED_FLOW_HPP

#include <medlarmoor/affinity/tag.hpp>
#include <medlarmoor/core/time.hpp>

namespace medlarmoor::placement {

/// A flow that counts as load of its upstream.
struct TrackedFlow {
  affinity::Tag Upstream_;
  TimePoint FirstSeen_{};
  /// When the SYN was last sent to Upstream_.
  TimePoint PlacedAt_{};
  /// When the client answered the upstream; valid when Open_.
  TimePoint OpenedAt_{};
  /// When it stops to count if the client sends nothing more.
  TimePoint ExpiresAt_{};
  /// How long it counts after a packet.
  Millis Timeout_{0};
  /// The client has answered the upstream: the flow stays where it is.
  bool Open_ = false;
};

} // namespace medlarmoor::placement

#endif // MEDLARMOOR_PLACEMENT_TRACKED_FLOW_HPP
