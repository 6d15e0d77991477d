#ifndef MEDLARMOOR_OBJECTS_FOLLOWER_TIMING_HPP
#define MEDLARMOOR_OBJECTS_FOLLOWER_TIMING_HPP

#include <medlarmoor/core/time.hpp>

namespace medlarmoor::objects {

/// Timing of the calls that follow one collection.
struct FollowerTiming {
  /// How long a watch waits for a change. A connection that goes silent is
  /// noticed after this and CallTimeout_, which stays below the time in which
  /// a change must be in force.
  Millis WatchWait_{2500};
  /// How long any call may take beyond the time that it waits.
  Millis CallTimeout_{700};
  /// Pause after a watch that gave changes, so that changes in quick
  /// succession cost one call.
  Millis Spacing_{500};
  /// Pause after the first failed call; doubles up to the longest.
  Millis FirstBackoff_{150};
  Millis LongestBackoff_{1000};
  /// When calls fail and nothing is known of the store for longer than this, it
  /// is away. Entries lapse after more than three seconds of silence only.
  Millis Outage_{700};
};

} // namespace medlarmoor::objects

#endif // MEDLARMOOR_OBJECTS_FOLLOWER_TIMING_HPP
