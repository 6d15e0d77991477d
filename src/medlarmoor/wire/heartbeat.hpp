#ifndef MEDLARMOOR_WIRE_HEARTBEAT_HPP
#define MEDLARMOOR_WIRE_HEARTBEAT_HPP

#include <medlarmoor/core/ids.hpp>

namespace medlarmoor::wire {

/// Tells that the sender lives, which members it sees and which configuration
/// it acts on.
struct Heartbeat {
  Incarnation Incarnation_;
  ViewId View_;
  ConfigVersion Config_;
  /// The sender hands over and is about to stop.
  bool Leaving_ = false;

  friend bool operator==(const Heartbeat &, const Heartbeat &) = default;
};

} // namespace medlarmoor::wire

#endif // MEDLARMOOR_WIRE_HEARTBEAT_HPP
