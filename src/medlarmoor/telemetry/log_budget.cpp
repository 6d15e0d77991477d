#include <medlarmoor/telemetry/log_budget.hpp>

#include <utility>

namespace medlarmoor::telemetry {

bool LogBudget::take(TimePoint Now) noexcept {
  turn(Now);
  if (Taken_ >= PerSecond_) {
    ++Skipped_;
    return false;
  }
  ++Taken_;
  return true;
}

std::optional<std::uint64_t> LogBudget::leftOut(TimePoint Now) noexcept {
  turn(Now);
  if (Ended_ == 0)
    return std::nullopt;
  return std::exchange(Ended_, 0);
}

void LogBudget::turn(TimePoint Now) noexcept {
  if (Now - SecondBegan_ < Seconds(1))
    return;
  SecondBegan_ = Now;
  Taken_ = 0;
  Ended_ += std::exchange(Skipped_, 0);
}

} // namespace medlarmoor::telemetry
