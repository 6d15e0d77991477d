#ifndef MEDLARMOOR_UPSTREAM_LOAD_REPORT_HPP
#define MEDLARMOOR_UPSTREAM_LOAD_REPORT_HPP

#include <medlarmoor/core/time.hpp>

#include <cstdint>

namespace medlarmoor::upstream {

/// The readiness that an upstream reports.
enum class ServingState : unsigned char { Warming, Ready, Draining };

/// The load that an upstream reports. It may be delayed, stale or wrong.
struct LoadReport {
  std::uint32_t Running_ = 0;
  std::uint32_t Queued_ = 0;
  ServingState State_ = ServingState::Ready;
  /// The age of the figures when they were sent.
  Millis Age_{};
};

} // namespace medlarmoor::upstream

#endif // MEDLARMOOR_UPSTREAM_LOAD_REPORT_HPP
