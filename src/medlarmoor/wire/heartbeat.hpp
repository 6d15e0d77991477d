#ifndef MEDLARMOOR_WIRE_HEARTBEAT_HPP
#define MEDLARMOOR_WIRE_HEARTBEAT_HPP

#include <medlarmoor/core/ids.hpp>
#include <medlarmoor/core/ipv4.hpp>
#include <medlarmoor/wire/member_update.hpp>

#include <cstdint>
#include <vector>

namespace medlarmoor::wire {

/// Reports that the sender is alive, which members it sees and which
/// configuration it applies.
struct Heartbeat {
  /// The address at which other entries reach the sender.
  Ipv4 Address_;
  ViewId View_;
  ConfigVersion Config_;
  /// The sender's own generation; see MemberUpdate::Generation_.
  std::uint32_t Generation_ = 0;
  Phase Phase_ = Phase::Joining;
  /// Recent updates about members, at most MaxMemberUpdates.
  std::vector<MemberUpdate> Updates_;

  friend bool operator==(const Heartbeat &, const Heartbeat &) = default;
};

/// The maximum number of member updates in one message.
inline constexpr std::size_t MaxMemberUpdates = 24;

} // namespace medlarmoor::wire

#endif // MEDLARMOOR_WIRE_HEARTBEAT_HPP
