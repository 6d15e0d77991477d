#ifndef MEDLARMOOR_TELEMETRY_LOG_BUDGET_HPP
#define MEDLARMOOR_TELEMETRY_LOG_BUDGET_HPP

#include <medlarmoor/core/time.hpp>

#include <cstdint>
#include <optional>

namespace medlarmoor::telemetry {

/// Bounds how many lines of one kind are written a second.
class LogBudget {
public:
  explicit LogBudget(std::uint32_t PerSecond) : PerSecond_(PerSecond) {}

  /// True when a line may be written at Now; otherwise it counts as left out.
  [[nodiscard]] bool take(TimePoint Now) noexcept;
  /// The lines left out in the second that has ended, once; nothing when there
  /// were none.
  [[nodiscard]] std::optional<std::uint64_t> leftOut(TimePoint Now) noexcept;

private:
  void turn(TimePoint Now) noexcept;

  std::uint32_t PerSecond_;
  TimePoint SecondBegan_{};
  std::uint32_t Taken_ = 0;
  std::uint64_t Skipped_ = 0;
  std::uint64_t Ended_ = 0;
};

} // namespace medlarmoor::telemetry

#endif // MEDLARMOOR_TELEMETRY_LOG_BUDGET_HPP
