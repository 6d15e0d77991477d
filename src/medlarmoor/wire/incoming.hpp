#ifndef MEDLARMOOR_WIRE_INCOMING_HPP
#define MEDLARMOOR_WIRE_INCOMING_HPP

#include <medlarmoor/core/ids.hpp>
#include <medlarmoor/wire/message.hpp>

namespace medlarmoor::wire {

/// A received message whose signature has been verified.
struct Incoming {
  EntryName From_;
  Message Message_;
  /// The incarnation of the sender that sent the message.
  Incarnation Incarnation_;
};

} // namespace medlarmoor::wire

#endif // MEDLARMOOR_WIRE_INCOMING_HPP
