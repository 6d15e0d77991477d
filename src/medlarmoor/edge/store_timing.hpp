#ifndef MEDLARMOOR_EDGE_STORE_TIMING_HPP
#define MEDLARMOOR_EDGE_STORE_TIMING_HPP

#include <medlarmoor/objects/follower_timing.hpp>
#include <medlarmoor/peers/election_timing.hpp>

namespace medlarmoor::edge {

/// Timing of the calls to the store when a change must be known within Limit.
/// A watch waits for less than half of it, so that a silent connection is
/// noticed, and its reader replaced, within it.
[[nodiscard]] inline objects::FollowerTiming followerTiming(Millis Limit) {
  objects::FollowerTiming Out;
  Out.WatchWait_ = Limit * 45 / 100;
  return Out;
}

/// Timing of shared reading when a change must be known within Limit. Trust
/// covers a watch and its answer; with the silence and the steps there is time
/// left for reading.
[[nodiscard]] inline peers::ElectionTiming electionTiming(Millis Limit) {
  peers::ElectionTiming Out;
  Out.Trust_ = Limit * 6 / 10;
  Out.Silence_ = Limit * 26 / 100;
  return Out;
}

} // namespace medlarmoor::edge

#endif // MEDLARMOOR_EDGE_STORE_TIMING_HPP
