#ifndef MEDLARMOOR_WIRE_OUTGOING_HPP
#define MEDLARMOOR_WIRE_OUTGOING_HPP

#include <medlarmoor/core/ids.hpp>
#include <medlarmoor/wire/message.hpp>

#include <optional>

namespace medlarmoor::wire {

/// A message that a thread gives the control thread to sign and send.
struct Outgoing {
  /// The receiver; all members of the own failure domain when empty.
  std::optional<EntryName> To_;
  Message Message_;
};

} // namespace medlarmoor::wire

#endif // MEDLARMOOR_WIRE_OUTGOING_HPP
