#ifndef MEDLARMOOR_DISCOVERY_CATALOG_HPP
#define MEDLARMOOR_DISCOVERY_CATALOG_HPP

#include <medlarmoor/discovery/catalog_entry.hpp>
#include <medlarmoor/discovery/catalog_limits.hpp>
#include <medlarmoor/discovery/evacuations.hpp>
#include <medlarmoor/discovery/upstream_changes.hpp>

#include <cstddef>
#include <memory>
#include <optional>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace medlarmoor::discovery {

/// Whether evacuations of failure domains are read from the store.
enum class EvacuationUse : unsigned char { Ignored, Required };

/// The upstreams of all services, derived from the entries in the store, from
/// the store's outages and from the evacuations of failure domains. Does no
/// I/O; the current time is passed to each call.
class Catalog {
public:
  explicit Catalog(CatalogLimits Limits,
                   EvacuationUse Use = EvacuationUse::Ignored);

  /// Applies changes that the store or a peer sent as of Revision.
  void apply(UpstreamChanges Changes, StoreRevision Revision, TimePoint Now);
  /// Applies changes of the evacuated domains that the store or a peer sent as
  /// of Revision; see Evacuations::apply().
  EvacuationChanges applyEvacuations(const EvacuationChanges &Changes,
                                     StoreRevision Revision, TimePoint Now);
  /// Records that the store has been reachable again since RecoveredAt, after
  /// an outage. Has no effect if a later recovery has already been recorded.
  void storeRecovered(TimePoint RecoveredAt);
  /// Retires lapsed upstreams that did not register again in time, and evicts
  /// retired ones that no flow can use any more.
  void expire(TimePoint Now);

  /// Returns the upstream with the given tag, even if it is lapsed or retired;
  /// null if there is none. Of several upstreams with one tag, only the one
  /// that was created first in the store is returned.
  [[nodiscard]] const CatalogEntry *find(affinity::Tag Tag) const noexcept;
  /// Returns the upstreams of a service that accept new flows, ordered by name,
  /// without those in evacuated domains.
  [[nodiscard]] const std::vector<const CatalogEntry *> &
  candidates(const ServiceName &Service) const noexcept;
  [[nodiscard]] const Evacuations &evacuations() const noexcept {
    return Evacuations_;
  }
  /// Returns true if the upstream is in an evacuated domain.
  [[nodiscard]] bool evacuated(const CatalogEntry &Entry) const noexcept {
    return Evacuations_.contains(Entry.Upstream_.Domain_);
  }
  /// Returns true if a service has no candidates because the upstreams that
  /// accept new flows are in evacuated domains.
  [[nodiscard]] bool evacuated(const ServiceName &Service) const noexcept {
    return EvacuatedServices_.contains(Service);
  }
  /// Returns the number of upstreams in each domain, without retired ones.
  [[nodiscard]] const std::unordered_map<DomainName, std::size_t> &
  domains() const noexcept {
    return Domains_;
  }
  /// Returns the upstreams of all services that accept new flows, in no order.
  [[nodiscard]] std::vector<const CatalogEntry *> accepting() const;
  /// Returns true if the entry of the upstream cannot be read.
  [[nodiscard]] bool unreadable(const UpstreamName &Name) const noexcept {
    return Unreadable_.contains(Name);
  }
  /// Returns the number of upstreams that the store lists.
  [[nodiscard]] std::size_t listedCount() const noexcept;
  /// Returns the changes after Revision, or a full snapshot if the catalog no
  /// longer has the individual changes since then.
  [[nodiscard]] UpstreamChanges changesSince(StoreRevision Revision) const;
  /// Returns true once a full snapshot of the upstreams has been applied.
  [[nodiscard]] bool listed() const noexcept { return Ready_; }
  /// Returns true once full snapshots of the upstreams and, if they are
  /// required, of the evacuations have been applied.
  [[nodiscard]] bool ready() const noexcept {
    return Ready_ && (Use_ == EvacuationUse::Ignored || Evacuations_.ready());
  }

private:
  /// Removes from Listed what an older copy of the store repeats although this
  /// instance knows better, and keeps upstreams draining that have been so.
  void discardOutdated(std::vector<Upstream> &Listed, bool IsFullSnapshot,
                       StoreRevision Revision) const;
  /// Adds or updates a listed upstream. IsChange states that the store reported
  /// a change of it.
  void put(Upstream Listed, bool IsChange, StoreRevision Revision,
           TimePoint Now);
  /// Changes the state of an upstream that the store has stopped listing: to
  /// Lapsed if the upstream may register again after an outage, otherwise to
  /// Retired.
  void unlist(CatalogEntry &Entry, StoreRevision Revision, TimePoint Now);
  /// Calls unlist() for all listed upstreams that are missing from Changes.
  void unlistMissing(const UpstreamChanges &Changes, StoreRevision Revision,
                     TimePoint Now);
  /// Records which entries cannot be read.
  void recordUnreadable(const UpstreamChanges &Changes, StoreRevision Revision);
  /// Recomputes what is derived from Entries_ and Evacuations_.
  void rebuild();
  /// Returns true if upstreams may still register again after an outage.
  bool inReregistrationGrace(TimePoint Now) const noexcept;

  CatalogLimits Limits_;
  EvacuationUse Use_;
  Evacuations Evacuations_;
  std::unordered_map<UpstreamName, std::unique_ptr<CatalogEntry>> Entries_;
  std::unordered_map<affinity::Tag, const CatalogEntry *> EntriesByTag_;
  std::unordered_map<ServiceName, std::vector<const CatalogEntry *>>
      Candidates_;
  /// Services without candidates that have upstreams in evacuated domains.
  std::unordered_set<ServiceName> EvacuatedServices_;
  std::unordered_map<DomainName, std::size_t> Domains_;
  /// Names of the entries that cannot be read, with the revision of that
  /// change. Another writer may have spoilt the entry of an upstream that
  /// serves: it keeps its state and takes no new flows meanwhile.
  std::unordered_map<UpstreamName, StoreRevision> Unreadable_;
  std::optional<TimePoint> StoreRecoveredAt_;
  /// The individual changes up to this revision are not available, because a
  /// full snapshot replaced them or because upstreams were evicted.
  StoreRevision HistoryStart_;
  bool Ready_ = false;
};

} // namespace medlarmoor::discovery

#endif // MEDLARMOOR_DISCOVERY_CATALOG_HPP
