#ifndef MEDLARMOOR_PLACEMENT_TRACKED_FLOW_HPP
#define MEDLARMOOR_PLACEMENT_TRACKED_FLOW_HPP

#include <medlarmoor/affinity/tag.hpp>
#include <medlarmoor/core/time.hpp>

#include <cstdint>

namespace medlarmoor::placement {

/// A flow that counts as load of its upstream.
struct TrackedFlow {
  affinity::Tag Upstream_;
  TimePoint FirstSeen_{};
  /// When the SYN was last sent to Upstream_.
  TimePoint PlacedAt_{};
  /// When the client answered the upstream; valid when Open_.
  TimePoint OpenedAt_{};
  /// When it stops to count if the client sends nothing more.
  TimePoint ExpiresAt_{};
  /// How long it counts after a packet.
  Millis IdleTimeout_{0};
  /// The client has answered the upstream: the flow stays where it is.
  bool Open_ = false;
  /// The client has sent a request since the flow was opened.
  bool RequestSent_ = false;
  /// Its request has been counted as overdue.
  bool Overdue_ = false;
  /// When its request began and when the answer becomes overdue.
  TimePoint RequestedAt_{};
  TimePoint DueAt_{};
  /// The client's acknowledgement when it began its request, and the last one.
  std::uint32_t RequestAck_ = 0;
  std::uint32_t LastAck_ = 0;

  /// The client acknowledged all up to Ack.
  void acknowledge(std::uint32_t Ack) noexcept {
    // Sequence numbers wrap around.
    if (static_cast<std::int32_t>(Ack - LastAck_) > 0)
      LastAck_ = Ack;
  }
  /// Bytes of the answer that the client has acknowledged.
  [[nodiscard]] std::uint32_t receivedBytes() const noexcept {
    return LastAck_ - RequestAck_;
  }
};

} // namespace medlarmoor::placement

#endif // MEDLARMOOR_PLACEMENT_TRACKED_FLOW_HPP
