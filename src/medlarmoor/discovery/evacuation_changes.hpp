#ifndef MEDLARMOOR_DISCOVERY_EVACUATION_CHANGES_HPP
#define MEDLARMOOR_DISCOVERY_EVACUATION_CHANGES_HPP

#include <medlarmoor/core/ids.hpp>

#include <vector>

namespace medlarmoor::discovery {

/// Changes of the evacuated failure domains between two revisions of the store.
struct EvacuationChanges {
  /// True if Listed_ holds all evacuated domains and replaces any earlier list.
  bool IsFullSnapshot_ = false;
  /// Domains that are evacuated.
  std::vector<DomainName> Listed_{};
  /// Domains that are no longer evacuated; empty if IsFullSnapshot_.
  std::vector<DomainName> Removed_{};
};

} // namespace medlarmoor::discovery

#endif // MEDLARMOOR_DISCOVERY_EVACUATION_CHANGES_HPP
