#ifndef MEDLARMOOR_WIRE_MEMBER_TABLE_HPP
#define MEDLARMOOR_WIRE_MEMBER_TABLE_HPP

#include <medlarmoor/wire/member_update.hpp>

#include <vector>

namespace medlarmoor::wire {

/// A part of the sender's member table, sent to an entry that joins or whose
/// view has differed from the sender's for a long time.
struct MemberTable {
  /// At most MaxMemberUpdates.
  std::vector<MemberUpdate> Members_;

  friend bool operator==(const MemberTable &, const MemberTable &) = default;
};

} // namespace medlarmoor::wire

#endif // MEDLARMOOR_WIRE_MEMBER_TABLE_HPP
