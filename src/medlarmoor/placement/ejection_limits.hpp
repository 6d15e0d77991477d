#ifndef MEDLARMOOR_PLACEMENT_EJECTION_LIMITS_HPP
#define MEDLARMOOR_PLACEMENT_EJECTION_LIMITS_HPP

#include <medlarmoor/core/time.hpp>

#include <cstdint>

namespace medlarmoor::placement {

/// How long and how widely upstreams are ejected.
struct EjectionLimits {
  /// Unanswered handshakes in a row that eject: one alone may be a lost packet.
  std::uint32_t FailureThreshold_ = 2;
  /// The first ejection; each further one without a success in between lasts
  /// twice as long.
  Millis BaseDuration_{1500};
  Millis MaxDuration_{12'000};
  /// Timeouts are forgotten this long after the last one, or after the
  /// ejection.
  Millis RecordLifetime_{60'000};
  /// Share of a service's candidates that may be ejected at once, in percent.
  std::uint32_t MaxEjectedPercent_ = 50;
};

} // namespace medlarmoor::placement

#endif // MEDLARMOOR_PLACEMENT_EJECTION_LIMITS_HPP
