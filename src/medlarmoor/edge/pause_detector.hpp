#ifndef MEDLARMOOR_EDGE_PAUSE_DETECTOR_HPP
#define MEDLARMOOR_EDGE_PAUSE_DETECTOR_HPP

#include <medlarmoor/core/time.hpp>

#include <optional>

namespace medlarmoor::edge {

/// Notices that this process was paused, for example by a stop signal or a
/// suspended machine, from the time between two activities.
class PauseDetector {
public:
  /// Records that the process is running. To be called several times per
  /// second.
  void recordActivity(TimePoint Now) noexcept;
  /// Returns true for a short time after a pause, in which data that changed
  /// meanwhile is being read again.
  [[nodiscard]] bool resuming(TimePoint Now) const noexcept;
  /// Returns the end of the last pause; no value if there was none.
  [[nodiscard]] std::optional<TimePoint> resumedAt() const noexcept {
    return ResumedAt_;
  }

private:
  std::optional<TimePoint> LastActivity_;
  std::optional<TimePoint> ResumedAt_;
};

} // namespace medlarmoor::edge

#endif // MEDLARMOOR_EDGE_PAUSE_DETECTOR_HPP
