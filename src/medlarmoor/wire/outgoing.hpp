#ifndef MEDLARMOOR_WIRE_OUTGOING_HPP
#define MEDLARMOOR_WIRE_OUTGOING_HPP

#include <medlarmoor/core/ids.hpp>
#include <medlarmoor/wire/message.hpp>

#include <optional>

namespace medlarmoor::wire {

/// A message that another thread passes to the control thread, which signs and
/// sends it.
struct Outgoing {
  /// The receiver; empty for all members of the own failure domain.
  std::optional<EntryName> To_;
  Message Message_;
};

} // namespace medlarmoor::wire

#endif // MEDLARMOOR_WIRE_OUTGOING_HPP
