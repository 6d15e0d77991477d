#ifndef MEDLARMOOR_CORE_CLOCK_HPP
#define MEDLARMOOR_CORE_CLOCK_HPP

#include <medlarmoor/core/manual_clock.hpp>
#include <medlarmoor/core/time.hpp>

#include <memory>
#include <variant>

namespace medlarmoor {

/// The source of time of a decision object: the system's clocks, or a manual
/// clock that a test moves.
class Clock {
public:
  /// Reads the system's clocks.
  Clock() = default;
  /// Reads Source, which several objects may share.
  explicit Clock(std::shared_ptr<const ManualClock> Source)
      : Source_(std::move(Source)) {}

  /// The steady time now.
  [[nodiscard]] TimePoint now() const;
  /// The wall time now, in milliseconds since the epoch.
  [[nodiscard]] WallTime wallNow() const;

private:
  struct System {};
  std::variant<System, std::shared_ptr<const ManualClock>> Source_;
};

} // namespace medlarmoor

#endif // MEDLARMOOR_CORE_CLOCK_HPP
