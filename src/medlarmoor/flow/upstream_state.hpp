#ifndef MEDLARMOOR_FLOW_UPSTREAM_STATE_HPP
#define MEDLARMOOR_FLOW_UPSTREAM_STATE_HPP

#include <medlarmoor/config/upstream.hpp>
#include <medlarmoor/core/time.hpp>
#include <medlarmoor/upstream/lifecycle.hpp>

#include <cstdint>
#include <optional>

namespace medlarmoor::flow {

/// An upstream as the flow door of one entry sees it.
struct UpstreamState {
  config::Upstream Config_;
  /// Hash of the name.
  std::uint64_t Seed_ = 0;
  /// Names it in messages, among the upstreams of its service.
  std::uint16_t WireId_ = 0;
  upstream::Lifecycle Lifecycle_;
  /// Flows that this entry holds open as home.
  std::uint32_t LocalOpen_ = 0;
  /// Records of any kind that name it.
  std::uint32_t Records_ = 0;
  /// LocalOpen_ as the other homes were last told.
  std::uint32_t AnnouncedOpen_ = 0;
  /// Flows that other homes hold open, as last told by them.
  std::uint32_t PeerOpen_ = 0;
  /// Flows that were established while it warms.
  std::uint32_t Successes_ = 0;
  /// Flows whose first packet was repeated since it last answered any.
  std::uint32_t Stalled_ = 0;
  /// When Stalled_ left 0.
  TimePoint StalledSince_;
  /// When a silent one was last tried.
  TimePoint ProbedAt_;
  /// When it began to drain.
  TimePoint DrainedAt_;
  /// Since when the homes take turns for its last connections.
  std::optional<TimePoint> ScarceSince_;
  /// The newest table has slots of it.
  bool InNewestTable_ = false;
  /// It has left and another service has its address now.
  bool AddressReused_ = false;

  /// Flows open over all homes, as far as this entry knows.
  [[nodiscard]] std::uint32_t totalOpen() const noexcept {
    return LocalOpen_ + PeerOpen_;
  }
  /// Connections left, by what the homes have told each other.
  [[nodiscard]] std::uint32_t announcedRoom() const noexcept {
    const std::uint32_t Told = AnnouncedOpen_ + PeerOpen_;
    return Config_.Connections_ > Told ? Config_.Connections_ - Told : 0;
  }
};

} // namespace medlarmoor::flow

#endif // MEDLARMOOR_FLOW_UPSTREAM_STATE_HPP
