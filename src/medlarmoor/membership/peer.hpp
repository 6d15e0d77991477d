#ifndef MEDLARMOOR_MEMBERSHIP_PEER_HPP
#define MEDLARMOOR_MEMBERSHIP_PEER_HPP

#include <medlarmoor/core/ids.hpp>
#include <medlarmoor/core/ipv4.hpp>
#include <medlarmoor/core/time.hpp>
#include <medlarmoor/wire/member_news.hpp>

#include <cstdint>
#include <optional>

namespace medlarmoor::membership {

/// What one entry knows of another one of its failure domain.
struct Peer {
  EntryName Name_;
  Ipv4 Address_;
  Incarnation Run_;
  std::uint32_t Generation_ = 0;
  /// What the peer last said of itself, or Gone; never Suspected.
  wire::Phase Phase_ = wire::Phase::Joining;
  /// Since when it is suspected.
  std::optional<TimePoint> Suspected_;
  /// When it was last heard, or else when it began to be watched or went.
  TimePoint Heard_;
  /// Its heartbeats come here, so that its silence means something.
  bool Watched_ = false;

  /// Takes part: it is neither gone nor unknown.
  [[nodiscard]] bool active() const noexcept {
    return Phase_ != wire::Phase::Gone;
  }
  /// Counts as a member of the view.
  [[nodiscard]] bool counts() const noexcept {
    return Phase_ == wire::Phase::Live || Phase_ == wire::Phase::Leaving;
  }
  /// What the others are told.
  [[nodiscard]] wire::MemberNews news() const {
    return {Name_, Address_, Run_, Generation_,
            Suspected_ ? wire::Phase::Suspected : Phase_};
  }
};

} // namespace medlarmoor::membership

#endif // MEDLARMOOR_MEMBERSHIP_PEER_HPP
