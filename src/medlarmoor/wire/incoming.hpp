#ifndef MEDLARMOOR_WIRE_INCOMING_HPP
#define MEDLARMOOR_WIRE_INCOMING_HPP

#include <medlarmoor/core/ids.hpp>
#include <medlarmoor/wire/message.hpp>

namespace medlarmoor::wire {

/// A message that the control thread has received and verified.
struct Incoming {
  EntryName From_;
  Message Message_;
};

} // namespace medlarmoor::wire

#endif // MEDLARMOOR_WIRE_INCOMING_HPP
