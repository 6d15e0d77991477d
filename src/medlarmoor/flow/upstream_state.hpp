#ifndef MEDLARMOOR_FLOW_UPSTREAM_STATE_HPP
#define MEDLARMOOR_FLOW_UPSTREAM_STATE_HPP

#include <medlarmoor/config/upstream.hpp>
#include <medlarmoor/core/time.hpp>
#include <medlarmoor/upstream/lifecycle.hpp>

#include <cstdint>
#include <optional>

namespace medlarmoor::flow {

/// The state of an upstream as one entry's flow listener knows it.
struct UpstreamState {
  config::Upstream Config_;
  /// Hash of the name.
  std::uint64_t Seed_ = 0;
  /// Identifies the upstream in messages, unique within its service.
  std::uint16_t WireId_ = 0;
  upstream::Lifecycle Lifecycle_;
  /// Flows that this entry holds open as home.
  std::uint32_t LocalOpen_ = 0;
  /// Number of flow records of any kind that refer to the upstream.
  std::uint32_t Records_ = 0;
  /// Value of LocalOpen_ that was last announced to the other homes.
  std::uint32_t AnnouncedOpen_ = 0;
  /// Flows that other homes hold open, as they last announced.
  std::uint32_t PeerOpen_ = 0;
  /// Flows that were established while the upstream warms.
  std::uint32_t Successes_ = 0;
  /// Flows whose first packet was retransmitted since the upstream last
  /// answered any flow.
  std::uint32_t Stalled_ = 0;
  /// When Stalled_ rose above 0.
  TimePoint StalledSince_;
  /// When the upstream was last probed while silent.
  TimePoint ProbedAt_;
  /// When the upstream began to drain.
  TimePoint DrainedAt_;
  /// Since when the homes take turns for the last connections; empty while
  /// enough are left.
  std::optional<TimePoint> ScarceSince_;
  /// True if the newest consistent table has slots of this upstream.
  bool InNewestTable_ = false;
  /// True if the upstream has left and another service uses its address now.
  bool AddressReused_ = false;

  /// Returns the flows open on all homes, as far as this entry knows.
  [[nodiscard]] std::uint32_t totalOpen() const noexcept {
    return LocalOpen_ + PeerOpen_;
  }
  /// Returns the connections left according to the counts that the homes have
  /// announced to each other.
  [[nodiscard]] std::uint32_t announcedRoom() const noexcept {
    const std::uint32_t Announced = AnnouncedOpen_ + PeerOpen_;
    return Config_.Connections_ > Announced ? Config_.Connections_ - Announced
                                            : 0;
  }
};

} // namespace medlarmoor::flow

#endif // MEDLARMOOR_FLOW_UPSTREAM_STATE_HPP
