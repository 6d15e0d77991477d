#ifndef MEDLARMOOR_MEMBERSHIP_MEMBER_HPP
#define MEDLARMOOR_MEMBERSHIP_MEMBER_HPP

#include <medlarmoor/core/ids.hpp>
#include <medlarmoor/core/ipv4.hpp>

namespace medlarmoor::membership {

/// What a member does for the others.
enum class MemberState : unsigned char {
  /// Takes flows and requests as home.
  Live,
  /// Hands over and stops; homes nothing new but still forwards and answers.
  Leaving,
};

/// One entry instance of the own failure domain.
struct Member {
  EntryName Name_;
  /// Where the others reach it.
  Ipv4 Address_;
  MemberState State_ = MemberState::Live;

  friend bool operator==(const Member &, const Member &) = default;
};

} // namespace medlarmoor::membership

#endif // MEDLARMOOR_MEMBERSHIP_MEMBER_HPP
