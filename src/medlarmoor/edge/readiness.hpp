#ifndef MEDLARMOOR_EDGE_READINESS_HPP
#define MEDLARMOOR_EDGE_READINESS_HPP

#include <medlarmoor/core/time.hpp>

#include <optional>

namespace medlarmoor::edge {

/// Decides when routers may send traffic and when a stopping instance may go.
class Readiness {
public:
  /// Grace is the time between the stop signal and the kill.
  explicit Readiness(Millis Grace);

  /// Replaces the time between the stop signal and the kill.
  void setGrace(Millis Grace) noexcept { Grace_ = Grace; }
  /// The stop signal came.
  void stop(TimePoint Now);
  /// A packet came.
  void packet(TimePoint Now) noexcept { LastPacket_ = Now; }

  /// True when routers may send new flows.
  [[nodiscard]] bool ready(bool RoutesKnown,
                           bool UpstreamsKnown) const noexcept {
    return RoutesKnown && UpstreamsKnown && !StoppedAt_;
  }
  [[nodiscard]] bool stopping() const noexcept { return bool(StoppedAt_); }
  /// True when a stopping instance is no longer needed: routers have turned
  /// away, or the kill is near.
  [[nodiscard]] bool mayExit(TimePoint Now) const noexcept;

private:
  Millis Grace_;
  std::optional<TimePoint> StoppedAt_;
  TimePoint LastPacket_{};
};

} // namespace medlarmoor::edge

#endif // MEDLARMOOR_EDGE_READINESS_HPP
