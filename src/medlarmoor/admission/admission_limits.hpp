#ifndef MEDLARMOOR_ADMISSION_ADMISSION_LIMITS_HPP
#define MEDLARMOOR_ADMISSION_ADMISSION_LIMITS_HPP

#include <medlarmoor/core/time.hpp>

#include <algorithm>
#include <cstddef>

namespace medlarmoor::admission {

/// Limits of the waiting at an instance.
struct AdmissionLimits {
  /// Maximum share of the latency objective, in percent, for which a flow
  /// waits. The rest is for the upstream's work, its own queue and the network.
  /// A longer queue delays every flow behind it and serves no more of them.
  unsigned MaxWaitPercent_ = 20;
  /// Maximum time for which a flow waits. Clients repeat their SYN after 200
  /// ms, and routers may hand that copy to another instance, which would place
  /// it.
  Millis MaxWait_{150};
  /// Share of the latency objective, in percent, within which the upstream has
  /// to answer a flow that has waited for its maximum time. The rest is for the
  /// network.
  unsigned AnswerPercent_ = 75;
  /// A priority whose flows have been refused for this long, without one of
  /// them being placed, gets the next placement.
  Millis StarvationTime_{1000};
  /// Maximum number of waiting flows of a service; bounds the memory.
  std::size_t MaxWaiting_ = 10'000;

  /// Returns the maximum time for which a flow with this objective waits.
  [[nodiscard]] Millis maxWait(Millis Objective) const noexcept {
    constexpr unsigned Percent = 100;
    return std::min(MaxWait_, Objective * MaxWaitPercent_ / Percent);
  }
};

} // namespace medlarmoor::admission

#endif // MEDLARMOOR_ADMISSION_ADMISSION_LIMITS_HPP
