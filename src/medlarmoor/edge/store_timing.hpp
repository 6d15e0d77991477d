#ifndef MEDLARMOOR_EDGE_STORE_TIMING_HPP
#define MEDLARMOOR_EDGE_STORE_TIMING_HPP

#include <medlarmoor/objects/follower_timing.hpp>
#include <medlarmoor/peers/freshness_timing.hpp>

#include <algorithm>

namespace medlarmoor::edge {

/// The time budget of a change, as shares of MaxChangeDelay, the time within
/// which it must be in force at all instances (docs/decisions/platform.md).
///
/// An answer of the store is as old as its call, so that the data of a reader
/// is never older than two watches (0.32). An instance that was not told of it
/// asks others (0.39). If none has more recent data, the reader counts as
/// stopped (0.46), and the instances take over one after another (0.56). A
/// first call that is lost costs its timeout and backoff (0.70); the answer to
/// the second one is in force before 0.80, which leaves a fifth for slow
/// processors.
[[nodiscard]] inline objects::FollowerTiming
followerTiming(Millis MaxChangeDelay) {
  objects::FollowerTiming Timing;
  Timing.WatchWait_ = MaxChangeDelay * 16 / 100;
  Timing.CallTimeout_ = MaxChangeDelay * 12 / 100;
  Timing.BatchDelay_ = std::min(Timing.BatchDelay_, MaxChangeDelay / 10);
  Timing.InitialBackoff_ = MaxChangeDelay * 2 / 100;
  Timing.MaxBackoff_ = MaxChangeDelay / 4;
  return Timing;
}

/// See followerTiming().
[[nodiscard]] inline peers::FreshnessTiming
freshnessTiming(Millis MaxChangeDelay) {
  peers::FreshnessTiming Timing;
  Timing.QueryAge_ = MaxChangeDelay * 39 / 100;
  Timing.TakeoverAge_ = MaxChangeDelay * 46 / 100;
  Timing.MaxTakeoverDelay_ = MaxChangeDelay * 10 / 100;
  Timing.SpreadStep_ = MaxChangeDelay / 10;
  return Timing;
}

} // namespace medlarmoor::edge

#endif // MEDLARMOOR_EDGE_STORE_TIMING_HPP
