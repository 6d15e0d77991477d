#ifndef MEDLARMOOR_ADMISSION_DEMAND_HPP
#define MEDLARMOOR_ADMISSION_DEMAND_HPP

#include <medlarmoor/affinity/flow_key.hpp>
#include <medlarmoor/core/time.hpp>

namespace medlarmoor::admission {

/// What a new flow needs.
struct Demand {
  affinity::FlowKey Flow_;
  /// Priority of its route; 0 is the highest.
  unsigned Priority_ = 0;
  /// Time of its first SYN.
  TimePoint ArrivedAt_{};
  /// Latency objective of its route.
  Millis Objective_{0};
  /// Expected time that an upstream works on its first request.
  Nanos Work_{0};

  /// Returns the latest time at which the first request can begin to run and
  /// still be answered within the objective.
  [[nodiscard]] TimePoint latestStart() const noexcept {
    return ArrivedAt_ + Objective_ - Work_;
  }
};

} // namespace medlarmoor::admission

#endif // MEDLARMOOR_ADMISSION_DEMAND_HPP
