#ifndef MEDLARMOOR_PLACEMENT_EJECTION_LIMITS_HPP
#define MEDLARMOOR_PLACEMENT_EJECTION_LIMITS_HPP

#include <medlarmoor/core/time.hpp>

#include <cstdint>

namespace medlarmoor::placement {

/// Limits the duration of ejections and the share of upstreams ejected at once.
struct EjectionLimits {
  /// Consecutive handshake timeouts after which an upstream is ejected. A
  /// single one may be a lost packet.
  std::uint32_t FailureThreshold_ = 2;
  /// Duration of the first ejection. It doubles with each further ejection that
  /// follows without a completed handshake in between, up to MaxDuration_.
  Millis BaseDuration_{1500};
  Millis MaxDuration_{12'000};
  /// Time after which timeouts are forgotten, counted from the last timeout or
  /// from the end of the ejection, whichever is later.
  Millis RecordLifetime_{60'000};
  /// Maximum share of a service's candidates that may be ejected at once, in
  /// percent.
  std::uint32_t MaxEjectedPercent_ = 50;
};

} // namespace medlarmoor::placement

#endif // MEDLARMOOR_PLACEMENT_EJECTION_LIMITS_HPP
