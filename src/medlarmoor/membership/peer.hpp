#ifndef MEDLARMOOR_MEMBERSHIP_PEER_HPP
#define MEDLARMOOR_MEMBERSHIP_PEER_HPP

#include <medlarmoor/core/ids.hpp>
#include <medlarmoor/core/ipv4.hpp>
#include <medlarmoor/core/time.hpp>
#include <medlarmoor/wire/member_update.hpp>

#include <cstdint>
#include <optional>

namespace medlarmoor::membership {

/// What an entry knows about another entry of its failure domain.
struct Peer {
  EntryName Name_;
  Ipv4 Address_;
  Incarnation Run_;
  std::uint32_t Generation_ = 0;
  /// The phase that the peer last reported of itself, or Gone; never Suspected.
  wire::Phase Phase_ = wire::Phase::Joining;
  /// When the peer became suspected; nothing if it is not.
  std::optional<TimePoint> SuspectedSince_;
  /// When the peer was last heard, began to be watched or became Gone,
  /// whichever is latest.
  TimePoint LastHeard_;
  /// True if the peer sends its heartbeats to this entry, so that its silence
  /// is a sign of failure.
  bool Watched_ = false;

  /// Returns true if the peer is not gone.
  [[nodiscard]] bool active() const noexcept {
    return Phase_ != wire::Phase::Gone;
  }
  /// Returns true if the peer belongs in the view.
  [[nodiscard]] bool isMember() const noexcept {
    return Phase_ == wire::Phase::Live || Phase_ == wire::Phase::Leaving;
  }
  /// Returns the update that is gossiped about the peer.
  [[nodiscard]] wire::MemberUpdate toUpdate() const {
    return {Name_, Address_, Run_, Generation_,
            SuspectedSince_ ? wire::Phase::Suspected : Phase_};
  }
};

} // namespace medlarmoor::membership

#endif // MEDLARMOOR_MEMBERSHIP_PEER_HPP
