#ifndef MEDLARMOOR_PEERS_ELECTION_TIMING_HPP
#define MEDLARMOOR_PEERS_ELECTION_TIMING_HPP

#include <medlarmoor/core/time.hpp>

namespace medlarmoor::peers {

/// Timing of shared reading, in which instances rely on a reader instead of
/// reading the store themselves. A reader that is cut off from the store right
/// after its last answer is detected after TrustPeriod_, SilencePeriod_ and all
/// takeover steps, which together stay below the time within which a change
/// must be in force.
struct ElectionTiming {
  /// Other instances rely on a reading only while it is younger than this.
  Millis TrustPeriod_{1800};
  /// A reader that has been silent for this long counts as stopped.
  Millis SilencePeriod_{800};
  /// Additional delay after which each next instance takes over.
  Millis TakeoverStep_{40};
  /// Upper bound of the sum of these delays.
  Millis MaxTakeoverDelay_{200};
};

} // namespace medlarmoor::peers

#endif // MEDLARMOOR_PEERS_ELECTION_TIMING_HPP
