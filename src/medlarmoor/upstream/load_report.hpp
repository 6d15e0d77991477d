#ifndef MEDLARMOOR_UPSTREAM_LOAD_REPORT_HPP
#define MEDLARMOOR_UPSTREAM_LOAD_REPORT_HPP

#include <medlarmoor/core/time.hpp>

#include <cstdint>

namespace medlarmoor::upstream {

/// What an upstream says about its readiness.
enum class ServingState : unsigned char { Warming, Ready, Draining };

/// What an upstream reported about itself. It may lag, stand still or be
/// wrong.
struct LoadReport {
  std::uint32_t Running_ = 0;
  std::uint32_t Queued_ = 0;
  ServingState State_ = ServingState::Ready;
  /// How old the figures were when they were sent.
  Millis Age_{};
};

} // namespace medlarmoor::upstream

#endif // MEDLARMOOR_UPSTREAM_LOAD_REPORT_HPP
