#ifndef MEDLARMOOR_WIRE_MEMBER_NEWS_HPP
#define MEDLARMOOR_WIRE_MEMBER_NEWS_HPP

#include <medlarmoor/core/ids.hpp>
#include <medlarmoor/core/ipv4.hpp>
#include <medlarmoor/wire/phase.hpp>

#include <cstdint>

namespace medlarmoor::wire {

/// One fact about one member, passed on from entry to entry. Of two facts the
/// one with the higher incarnation counts, then the one with the higher
/// generation, then the one with the later phase.
struct MemberNews {
  EntryName Name_;
  Ipv4 Address_;
  Incarnation Incarnation_;
  /// Raised by the member itself whenever it refutes a suspicion.
  std::uint32_t Generation_ = 0;
  Phase Phase_ = Phase::Joining;

  friend bool operator==(const MemberNews &, const MemberNews &) = default;
};

} // namespace medlarmoor::wire

#endif // MEDLARMOOR_WIRE_MEMBER_NEWS_HPP
