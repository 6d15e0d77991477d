#ifndef MEDLARMOOR_PLACEMENT_SUSPECT_HPP
#define MEDLARMOOR_PLACEMENT_SUSPECT_HPP

#include <medlarmoor/affinity/tag.hpp>

namespace medlarmoor::placement {

/// Report to other instances that a request at an upstream failed or became
/// overdue.
struct Suspect {
  affinity::Tag Upstream_;
  /// Increase of FailureRates::excess() that the report justifies, in percent.
  unsigned ExcessPercent_ = 0;

  friend bool operator==(const Suspect &, const Suspect &) = default;
};

} // namespace medlarmoor::placement

#endif // MEDLARMOOR_PLACEMENT_SUSPECT_HPP
