#ifndef MEDLARMOOR_PEERS_FRESHNESS_TIMING_HPP
#define MEDLARMOOR_PEERS_FRESHNESS_TIMING_HPP

#include <medlarmoor/core/time.hpp>

namespace medlarmoor::peers {

/// Timing of shared reading, in which instances rely on another instance's
/// reading of the store while it is recent.
struct FreshnessTiming {
  /// An instance asks other instances once its data is older than this.
  Millis QueryAge_{1140};
  /// An instance reads the store itself once its data is older than this and
  /// its takeover delay has passed.
  Millis TakeoverAge_{1380};
  /// Upper bound of the takeover delays, which spread the instances so that few
  /// of them read the store when a reader has stopped.
  Millis MaxTakeoverDelay_{300};
  /// Data that is more recent by at least this is passed on to other instances.
  Millis SpreadStep_{150};
};

} // namespace medlarmoor::peers

#endif // MEDLARMOOR_PEERS_FRESHNESS_TIMING_HPP
