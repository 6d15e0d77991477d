#ifndef MEDLARMOOR_EDGE_STORE_TIMING_HPP
#define MEDLARMOOR_EDGE_STORE_TIMING_HPP

#include <medlarmoor/objects/follower_timing.hpp>
#include <medlarmoor/peers/election_timing.hpp>

namespace medlarmoor::edge {

/// Returns the timing of store calls with which an instance learns of a change
/// within MaxChangeDelay. A watch waits for less than half of MaxChangeDelay,
/// so that a connection that goes silent is detected, after the wait and
/// CallTimeout_, and its reader is replaced within MaxChangeDelay. Because
/// CallTimeout_ is fixed at 700 ms, detection alone needs a MaxChangeDelay
/// above 1.27 s.
[[nodiscard]] inline objects::FollowerTiming
followerTiming(Millis MaxChangeDelay) {
  objects::FollowerTiming Timing;
  Timing.WatchWait_ = MaxChangeDelay * 45 / 100;
  return Timing;
}

/// Returns the timing of shared reading with which an instance learns of a
/// change within MaxChangeDelay. Other instances rely on a reading while it is
/// younger than the trust period. A reader counts as stopped once it has been
/// silent for the silence period. The other instances then take over one after
/// another, each after a takeover delay that grows with its rank.
///
/// The trust period must cover a watch (followerTiming()) and its answer. The
/// trust period, the silence period and the longest takeover delay must
/// together stay below MaxChangeDelay, so that the instance that takes over has
/// time to read the store. Because MaxTakeoverDelay_ is fixed at 200 ms, this
/// needs a MaxChangeDelay above 1.43 s.
[[nodiscard]] inline peers::ElectionTiming
electionTiming(Millis MaxChangeDelay) {
  peers::ElectionTiming Timing;
  Timing.TrustPeriod_ = MaxChangeDelay * 6 / 10;
  Timing.SilencePeriod_ = MaxChangeDelay * 26 / 100;
  return Timing;
}

} // namespace medlarmoor::edge

#endif // MEDLARMOOR_EDGE_STORE_TIMING_HPP
