#ifndef MEDLARMOOR_WIRE_INCOMING_HPP
#define MEDLARMOOR_WIRE_INCOMING_HPP

#include <medlarmoor/core/ids.hpp>
#include <medlarmoor/wire/message.hpp>

namespace medlarmoor::wire {

/// A message that was received and verified.
struct Incoming {
  EntryName From_;
  Message Message_;
  /// The run of the sender that sent it.
  Incarnation Incarnation_;
};

} // namespace medlarmoor::wire

#endif // MEDLARMOOR_WIRE_INCOMING_HPP
