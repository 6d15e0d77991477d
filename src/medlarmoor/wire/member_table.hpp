#ifndef MEDLARMOOR_WIRE_MEMBER_TABLE_HPP
#define MEDLARMOOR_WIRE_MEMBER_TABLE_HPP

#include <medlarmoor/wire/member_news.hpp>

#include <vector>

namespace medlarmoor::wire {

/// A part of the sender's table of members, sent to one that joins or whose
/// view has differed for long.
struct MemberTable {
  /// At most MaxNews.
  std::vector<MemberNews> Members_;

  friend bool operator==(const MemberTable &, const MemberTable &) = default;
};

} // namespace medlarmoor::wire

#endif // MEDLARMOOR_WIRE_MEMBER_TABLE_HPP
