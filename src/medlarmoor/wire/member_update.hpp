#ifndef MEDLARMOOR_WIRE_MEMBER_UPDATE_HPP
#define MEDLARMOOR_WIRE_MEMBER_UPDATE_HPP

#include <medlarmoor/core/ids.hpp>
#include <medlarmoor/core/ipv4.hpp>
#include <medlarmoor/wire/phase.hpp>

#include <cstdint>

namespace medlarmoor::wire {

/// The state of one member, gossiped from entry to entry. Of two updates about
/// the same member, the one with the higher incarnation takes precedence, then
/// the one with the higher generation, then the one with the later phase.
struct MemberUpdate {
  EntryName Name_;
  Ipv4 Address_;
  Incarnation Incarnation_;
  /// Incremented by the member itself whenever its phase changes or it refutes
  /// a suspicion.
  std::uint32_t Generation_ = 0;
  Phase Phase_ = Phase::Joining;

  friend bool operator==(const MemberUpdate &, const MemberUpdate &) = default;
};

} // namespace medlarmoor::wire

#endif // MEDLARMOOR_WIRE_MEMBER_UPDATE_HPP
