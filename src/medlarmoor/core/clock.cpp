#include <medlarmoor/core/clock.hpp>
#include <medlarmoor/core/overloaded.hpp>

namespace medlarmoor {

TimePoint Clock::now() const {
  return std::visit(Overloaded{
                        [](const System &) {
                          return TimePoint(std::chrono::steady_clock::now());
                        },
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
