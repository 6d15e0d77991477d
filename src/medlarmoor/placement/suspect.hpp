#ifndef MEDLARMOOR_PLACEMENT_SUSPECT_HPP
#define MEDLARMOOR_PLACEMENT_SUSPECT_HPP

#include <medlarmoor/affinity/tag.hpp>

namespace medlarmoor::placement {

/// An upstream where an instance saw a request fail, for other instances.
struct Suspect {
  affinity::Tag Upstream_;
  /// How much that counts, in percent of FailureRates::excess().
  unsigned ExcessPercent_ = 0;

  friend bool operator==(const Suspect &, const Suspect &) = default;
};

} // namespace medlarmoor::placement

#endif // MEDLARMOOR_PLACEMENT_SUSPECT_HPP
