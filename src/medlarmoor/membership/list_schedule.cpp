#include <medlarmoor/membership/list_schedule.hpp>

#include <algorithm>

namespace medlarmoor::membership {

namespace {

/// An entry that is not a list watcher reads this many times less often.
constexpr int NonWatcherFactor = 30;
/// A list of this many instances doubles the period, twice as many triple it.
constexpr std::size_t InstancesPerPeriod = 32;
constexpr Millis MinRetryDelay{250};
constexpr Millis MaxRetryDelay = Seconds(5);

/// Returns a random delay between half and one and a half times Period.
Millis jittered(Millis Period, Random &Source) {
  const auto Spread =
      static_cast<std::uint64_t>(std::max<Millis::rep>(Period.count(), 1));
  return Period / 2 + Millis(Source() % Spread);
}

} // namespace

bool ListSchedule::due(TimePoint Now, bool Watcher, Random &Source) {
  // An entry that becomes a watcher does not wait for the end of its long
  // period.
  if (Watcher && Succeeded_ && NextRead_ - Now > 2 * period(true))
    NextRead_ = Now + jittered(period(true), Source);
  if (ReadInFlight_ || Now < NextRead_)
    return false;
  ReadInFlight_ = true;
  NextRead_ = Now + jittered(period(Watcher), Source);
  return true;
}

void ListSchedule::finished(TimePoint Now, std::optional<std::size_t> Instances,
                            Random &Source) {
  ReadInFlight_ = false;
  if (Instances) {
    Instances_ = *Instances;
    Succeeded_ = true;
    RetryDelay_ = Millis(0);
    return;
  }
  if (Succeeded_)
    return;
  RetryDelay_ = std::clamp(RetryDelay_ * 2, MinRetryDelay, MaxRetryDelay);
  NextRead_ = Now + jittered(RetryDelay_, Source);
}

Millis ListSchedule::period(bool Watcher) const noexcept {
  const auto Scale =
      static_cast<Millis::rep>(1 + Instances_ / InstancesPerPeriod);
  return Period_ * Scale * (Watcher ? 1 : NonWatcherFactor);
}

} // namespace medlarmoor::membership
