#ifndef MEDLARMOOR_MEMBERSHIP_MEMBER_HPP
#define MEDLARMOOR_MEMBERSHIP_MEMBER_HPP

#include <medlarmoor/core/ids.hpp>
#include <medlarmoor/core/ipv4.hpp>

namespace medlarmoor::membership {

/// The role of a member towards the other members.
enum class MemberState : unsigned char {
  /// Is a home for flows and requests.
  Live,
  /// Hands off and stops; is no home for new work but still forwards and
  /// answers.
  Leaving,
};

/// One entry instance of the own failure domain.
struct Member {
  EntryName Name_;
  /// The address at which other entries reach the member.
  Ipv4 Address_;
  MemberState State_ = MemberState::Live;

  friend bool operator==(const Member &, const Member &) = default;
};

} // namespace medlarmoor::membership

#endif // MEDLARMOOR_MEMBERSHIP_MEMBER_HPP
