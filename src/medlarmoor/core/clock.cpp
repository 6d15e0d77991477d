#include <medlarmoor/core/clock.hpp>
#include <medlarmoor/core/overloaded.hpp>

#include <ctime>

namespace medlarmoor {

namespace {

/// Unlike the steady clock it counts the time that the machine was suspended,
/// so that what was learnt before is as old as it really is.
TimePoint bootTime() {
  timespec Now{};
  clock_gettime(CLOCK_BOOTTIME, &Now);
  return TimePoint(Seconds(Now.tv_sec) + Nanos(Now.tv_nsec));
}

} // namespace

TimePoint Clock::now() const {
  return std::visit(Overloaded{
                        [](const System &) { return bootTime(); },
                        [](const auto &Manual) { return Manual->now(); },
                    },
                    Source_);
}

WallTime Clock::wallNow() const {
  return std::visit(Overloaded{
                        [](const System &) {
                          return std::chrono::time_point_cast<Millis>(
                              std::chrono::system_clock::now());
                        },
                        [](const auto &Manual) { return Manual->wallNow(); },
                    },
                    Source_);
}

} // namespace medlarmoor
