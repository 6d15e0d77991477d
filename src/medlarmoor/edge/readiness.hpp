#ifndef MEDLARMOOR_EDGE_READINESS_HPP
#define MEDLARMOOR_EDGE_READINESS_HPP

#include <medlarmoor/core/time.hpp>

#include <optional>

namespace medlarmoor::edge {

/// Decides when routers may send traffic and when a stopping instance may exit.
class Readiness {
public:
  /// Grace is the time between the stop signal and the kill.
  explicit Readiness(Millis Grace);

  /// Replaces the time between the stop signal and the kill.
  void setGrace(Millis Grace) noexcept { Grace_ = Grace; }
  /// Records the stop signal. Later calls have no effect.
  void stop(TimePoint Now);
  /// Records that a packet was received.
  void recordPacket(TimePoint Now) noexcept { LastPacket_ = Now; }

  /// Returns true if routers may send new flows.
  [[nodiscard]] bool ready(bool RoutesKnown,
                           bool UpstreamsKnown) const noexcept {
    return RoutesKnown && UpstreamsKnown && !StoppedAt_;
  }
  [[nodiscard]] bool stopping() const noexcept { return bool(StoppedAt_); }
  /// Returns true if a stopping instance may exit: routers no longer send to
  /// it, or the kill is near.
  [[nodiscard]] bool mayExit(TimePoint Now) const noexcept;

private:
  Millis Grace_;
  std::optional<TimePoint> StoppedAt_;
  TimePoint LastPacket_{};
};

} // namespace medlarmoor::edge

#endif // MEDLARMOOR_EDGE_READINESS_HPP
