#include <medlarmoor/membership/list_schedule.hpp>

#include <algorithm>

namespace medlarmoor::membership {

namespace {

/// Between two reads of an entry that is no watcher.
constexpr Millis SeldomPeriod = Seconds(60);
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
  if (Watcher && Succeeded_ && Next_ - Now > Period_ * 2)
    Next_ = Now + jittered(Period_, Source);
  if (Reading_ || Now < Next_)
    return false;
  Reading_ = true;
  Next_ = Now + jittered(Watcher ? Period_ : SeldomPeriod, Source);
  return true;
}

void ListSchedule::finished(TimePoint Now, bool Succeeded, Random &Source) {
  Reading_ = false;
  if (Succeeded) {
    Succeeded_ = true;
    Retry_ = Millis(0);
    return;
  }
  if (Succeeded_)
    return;
  Retry_ = std::clamp(Retry_ * 2, FirstRetry, LongestRetry);
  Next_ = Now + jittered(Retry_, Source);
}

} // namespace medlarmoor::membership
