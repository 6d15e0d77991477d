#ifndef MEDLARMOOR_CORE_MANUAL_CLOCK_HPP
#define MEDLARMOOR_CORE_MANUAL_CLOCK_HPP

#include <medlarmoor/core/time.hpp>

namespace medlarmoor {

/// A clock that stands still until it is moved.
class ManualClock {
public:
  /// Moves both times on by Step.
  void advance(Nanos Step) noexcept { Elapsed_ += Step; }

  [[nodiscard]] TimePoint now() const noexcept { return TimePoint(Elapsed_); }
  [[nodiscard]] WallTime wallNow() const noexcept {
    return WallTime(std::chrono::duration_cast<Millis>(Elapsed_));
  }

private:
  Nanos Elapsed_ = Seconds(1000);
};

} // namespace medlarmoor

#endif // MEDLARMOOR_CORE_MANUAL_CLOCK_HPP
