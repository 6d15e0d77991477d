#ifndef MEDLARMOOR_EDGE_READINESS_HPP
#define MEDLARMOOR_EDGE_READINESS_HPP

#include <medlarmoor/core/time.hpp>

#include <optional>

namespace medlarmoor::edge {

/// Decides when the network's routers may send traffic to this instance, and
/// when the instance may exit after a stop signal.
class Readiness {
public:
  /// Grace is the time between the stop signal and the forced termination of
  /// the process.
  explicit Readiness(Millis Grace);

  /// Replaces the time between the stop signal and the forced termination.
  void setGrace(Millis Grace) noexcept { Grace_ = Grace; }
  /// Records the stop signal. Later calls have no effect.
  void stop(TimePoint Now);
  /// Records that a packet was received.
  void recordPacket(TimePoint Now) noexcept { LastPacket_ = Now; }

  /// Returns true if the network's routers may send new flows to this instance.
  [[nodiscard]] bool ready(bool RoutesKnown,
                           bool UpstreamsKnown) const noexcept {
    return RoutesKnown && UpstreamsKnown && !StoppedAt_;
  }
  [[nodiscard]] bool stopping() const noexcept { return bool(StoppedAt_); }
  /// Returns true if a stopping instance may exit: the network's routers no
  /// longer send packets to it, or the forced termination at the end of the
  /// grace period is near.
  [[nodiscard]] bool mayExit(TimePoint Now) const noexcept;

private:
  Millis Grace_;
  std::optional<TimePoint> StoppedAt_;
  TimePoint LastPacket_{};
};

} // namespace medlarmoor::edge

#endif // MEDLARMOOR_EDGE_READINESS_HPP
