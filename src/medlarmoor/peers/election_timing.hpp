#ifndef MEDLARMOOR_PEERS_ELECTION_TIMING_HPP
#define MEDLARMOOR_PEERS_ELECTION_TIMING_HPP

#include <medlarmoor/core/time.hpp>

namespace medlarmoor::peers {

/// Timing of shared reading. A reader that is cut off from the store right
/// after its last answer is noticed after Trust_, Silence_ and all of the
/// steps, which together stay below the time in which a change must be in
/// force.
struct ElectionTiming {
  /// An older reading is not relied on.
  Millis Trust_{1800};
  /// A reader that is silent for this long has stopped.
  Millis Silence_{800};
  /// How much later each next instance takes over.
  Millis Step_{40};
  /// The last step of all.
  Millis LongestStep_{200};
};

} // namespace medlarmoor::peers

#endif // MEDLARMOOR_PEERS_ELECTION_TIMING_HPP
