#ifndef MEDLARMOOR_WIRE_HEARTBEAT_HPP
#define MEDLARMOOR_WIRE_HEARTBEAT_HPP

#include <medlarmoor/core/ids.hpp>
#include <medlarmoor/core/ipv4.hpp>
#include <medlarmoor/wire/member_news.hpp>

#include <cstdint>
#include <vector>

namespace medlarmoor::wire {

/// Tells that the sender lives, which members it sees and which configuration
/// it acts on.
struct Heartbeat {
  /// Where the others reach the sender.
  Ipv4 Address_;
  ViewId View_;
  ConfigVersion Config_;
  /// The sender's own generation, see MemberNews.
  std::uint32_t Generation_ = 0;
  Phase Phase_ = Phase::Joining;
  /// Recent facts about other members, at most MaxNews.
  std::vector<MemberNews> News_;

  friend bool operator==(const Heartbeat &, const Heartbeat &) = default;
};

/// The greatest number of facts in one message.
inline constexpr std::size_t MaxNews = 24;

} // namespace medlarmoor::wire

#endif // MEDLARMOOR_WIRE_HEARTBEAT_HPP
