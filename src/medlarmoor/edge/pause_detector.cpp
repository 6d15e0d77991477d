#include <medlarmoor/edge/pause_detector.hpp>

namespace medlarmoor::edge {

namespace {

/// A slow processor delays activities by less than this.
constexpr Millis MinPause{1000};
/// Time for a call of the store and its retry.
constexpr Millis ResumeTime{200};

} // namespace

void PauseDetector::recordActivity(TimePoint Now) noexcept {
  if (LastActivity_ && Now - *LastActivity_ >= MinPause)
    ResumedAt_ = Now;
  LastActivity_ = Now;
}

bool PauseDetector::resuming(TimePoint Now) const noexcept {
  return ResumedAt_ && Now - *ResumedAt_ < ResumeTime;
}

} // namespace medlarmoor::edge
