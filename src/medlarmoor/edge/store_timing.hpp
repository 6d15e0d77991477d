#ifndef MEDLARMOOR_EDGE_STORE_TIMING_HPP
#define MEDLARMOOR_EDGE_STORE_TIMING_HPP

#include <medlarmoor/objects/follower_timing.hpp>
#include <medlarmoor/peers/election_timing.hpp>

namespace medlarmoor::edge {

/// Returns the timing of store calls for which a change is known within Limit.
/// A watch waits for less than half of Limit, so that a silent connection is
/// detected and its reader replaced within Limit.
[[nodiscard]] inline objects::FollowerTiming followerTiming(Millis Limit) {
  objects::FollowerTiming Timing;
  Timing.WatchWait_ = Limit * 45 / 100;
  return Timing;
}

/// Returns the timing of shared reading for which a change is known within
/// Limit. The trust period covers a watch and its answer; together with the
/// silence period and the steps it leaves time for reading the store.
[[nodiscard]] inline peers::ElectionTiming electionTiming(Millis Limit) {
  peers::ElectionTiming Timing;
  Timing.Trust_ = Limit * 6 / 10;
  Timing.Silence_ = Limit * 26 / 100;
  return Timing;
}

} // namespace medlarmoor::edge

#endif // MEDLARMOOR_EDGE_STORE_TIMING_HPP
