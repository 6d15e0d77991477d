#ifndef MEDLARMOOR_PLACEMENT_TRACKED_FLOW_HPP
#define MEDLARMOOR_PLACEMENT_TRACKED_FLOW_HPP

#include <medlarmoor/affinity/tag.hpp>
#include <medlarmoor/core/time.hpp>

#include <cstdint>

namespace medlarmoor::placement {

/// A flow that this instance sees.
struct TrackedFlow {
  affinity::Tag Upstream_;
  TimePoint FirstSeen_{};
  /// Time at which the flow was assigned to Upstream_.
  TimePoint PlacedAt_{};
  /// Time at which the client answered the upstream; valid if Open_.
  TimePoint OpenedAt_{};
  /// Time of the client's last packet.
  TimePoint LastPacketAt_{};
  /// How long the client may send nothing while its handshake or a request is
  /// in progress, before that is taken as abandoned.
  Millis SilenceTimeout_{0};
  /// How long the flow is remembered after the client's last packet.
  Millis IdleTimeout_{0};
  /// Time of the queued check that finds the flow's next deadline.
  TimePoint NextCheck_ = TimePoint::max();
  /// True once the client has answered the upstream; the flow then stays at
  /// this upstream.
  bool Open_ = false;
  /// True if the client has sent a request since the flow was opened.
  bool RequestSent_ = false;
  /// True if the flow occupies its upstream: its handshake or a request is in
  /// progress.
  bool Busy_ = true;
  /// True if the answer to the current request has been reported as overdue.
  bool Overdue_ = false;
  /// True if the silence of the client has been reported since its last packet.
  bool Silent_ = false;
  /// True if the SYN has been sent to Upstream_ again without its client.
  bool SynResent_ = false;
  /// Start of the current request, and the time at which its answer becomes
  /// overdue.
  TimePoint RequestedAt_{};
  TimePoint DueAt_{};
  /// The client's acknowledgement number at the start of the current request,
  /// and its highest one so far.
  std::uint32_t RequestAck_ = 0;
  std::uint32_t LastAck_ = 0;

  /// Records that the client has acknowledged all bytes up to Ack. Returns true
  /// if these are more than before.
  bool acknowledge(std::uint32_t Ack) noexcept {
    // Sequence numbers wrap around.
    if (static_cast<std::int32_t>(Ack - LastAck_) <= 0)
      return false;
    LastAck_ = Ack;
    return true;
  }
  /// Returns the number of answer bytes that the client has acknowledged.
  [[nodiscard]] std::uint32_t receivedBytes() const noexcept {
    return LastAck_ - RequestAck_;
  }
  /// Returns true if the answer to the current request can become overdue.
  [[nodiscard]] bool awaitsAnswer() const noexcept {
    return Open_ && RequestSent_ && !Overdue_ && receivedBytes() == 0;
  }
};

} // namespace medlarmoor::placement

#endif // MEDLARMOOR_PLACEMENT_TRACKED_FLOW_HPP
