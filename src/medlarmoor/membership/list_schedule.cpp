#include <medlarmoor/membership/list_schedule.hpp>

#include <algorithm>

namespace medlarmoor::membership {

namespace {

/// One that is no watcher reads so many times less often.
constexpr int SeldomFactor = 30;
/// A list of this many instances doubles the period.
constexpr std::size_t LongList = 32;
constexpr Millis FirstRetry{250};
constexpr Millis LongestRetry = Seconds(5);

/// Between half and one and a half times Period.
Millis jittered(Millis Period, Random &Source) {
  const auto Span =
      static_cast<std::uint64_t>(std::max<Millis::rep>(Period.count(), 1));
  return Period / 2 + Millis(Source() % Span);
}

} // namespace

bool ListSchedule::due(TimePoint Now, bool Watcher, Random &Source) {
  // An entry that becomes a watcher does not wait out its long period.
  if (Watcher && Succeeded_ && Next_ - Now > 2 * period(true))
    Next_ = Now + jittered(period(true), Source);
  if (Reading_ || Now < Next_)
    return false;
  Reading_ = true;
  Next_ = Now + jittered(period(Watcher), Source);
  return true;
}

void ListSchedule::finished(TimePoint Now, std::optional<std::size_t> Instances,
                            Random &Source) {
  Reading_ = false;
  if (Instances) {
    Instances_ = *Instances;
    Succeeded_ = true;
    Retry_ = Millis(0);
    return;
  }
  if (Succeeded_)
    return;
  Retry_ = std::clamp(Retry_ * 2, FirstRetry, LongestRetry);
  Next_ = Now + jittered(Retry_, Source);
}

Millis ListSchedule::period(bool Watcher) const noexcept {
  const auto Scale = static_cast<Millis::rep>(1 + Instances_ / LongList);
  return Period_ * Scale * (Watcher ? 1 : SeldomFactor);
}

} // namespace medlarmoor::membership
