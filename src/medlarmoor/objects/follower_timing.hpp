#ifndef MEDLARMOOR_OBJECTS_FOLLOWER_TIMING_HPP
#define MEDLARMOOR_OBJECTS_FOLLOWER_TIMING_HPP

#include <medlarmoor/core/time.hpp>

namespace medlarmoor::objects {

/// Timing of the calls that follow one collection.
struct FollowerTiming {
  /// How long a watch waits for a change. A connection that goes silent is
  /// detected after this time and CallTimeout_, which together stay below the
  /// time within which a change must be in force.
  Millis WatchWait_{2500};
  /// Time limit of a call, in addition to the time that it waits for a change.
  Millis CallTimeout_{700};
  /// Pause after a list and after a watch that returned changes, so that
  /// changes in quick succession cost one call.
  Millis BatchDelay_{500};
  /// Pause after the first failed call. Doubles with each further failure, up
  /// to MaxBackoff_.
  Millis InitialBackoff_{150};
  Millis MaxBackoff_{1000};
  /// When calls fail and the collection has not been known to be current for
  /// this long, the store counts as unavailable. Entries lapse only after more
  /// than three seconds of silence.
  Millis OutageThreshold_{700};
};

} // namespace medlarmoor::objects

#endif // MEDLARMOOR_OBJECTS_FOLLOWER_TIMING_HPP
