#ifndef MEDLARMOOR_DISCOVERY_EVACUATIONS_HPP
#define MEDLARMOOR_DISCOVERY_EVACUATIONS_HPP

#include <medlarmoor/core/store_revision.hpp>
#include <medlarmoor/core/time.hpp>
#include <medlarmoor/discovery/evacuation_changes.hpp>

#include <cstddef>
#include <optional>
#include <unordered_map>

namespace medlarmoor::discovery {

/// The failure domains whose upstreams receive no new flows, as the operator
/// states in the store. Performs no I/O; the current time is passed in.
class Evacuations {
public:
  /// Applies changes that the store or a peer sent as of Revision. Returns the
  /// domains whose evacuation has begun and ended thereby, as a change.
  EvacuationChanges apply(const EvacuationChanges &Changes,
                          StoreRevision Revision, TimePoint Now);

  [[nodiscard]] bool contains(const DomainName &Domain) const noexcept {
    return Domains_.contains(Domain);
  }
  /// Returns the time at which this instance learned of the evacuation of a
  /// domain; no value if the domain is not evacuated.
  [[nodiscard]] std::optional<TimePoint> since(const DomainName &Domain) const;
  /// Returns the changes after Revision. This is the full list in each case,
  /// because it is small.
  [[nodiscard]] EvacuationChanges changesSince(StoreRevision Revision) const;
  /// Returns the revision of the changes that were applied last.
  [[nodiscard]] StoreRevision revision() const noexcept { return Revision_; }
  [[nodiscard]] std::size_t size() const noexcept { return Domains_.size(); }
  /// Returns true once a full list has been applied.
  [[nodiscard]] bool ready() const noexcept { return Ready_; }

private:
  /// When this instance learned of the evacuation of each domain.
  std::unordered_map<DomainName, TimePoint> Domains_;
  StoreRevision Revision_;
  bool Ready_ = false;
};

} // namespace medlarmoor::discovery

#endif // MEDLARMOOR_DISCOVERY_EVACUATIONS_HPP
