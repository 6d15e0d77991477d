#ifndef MEDLARMOOR_DISCOVERY_CATALOG_HPP
#define MEDLARMOOR_DISCOVERY_CATALOG_HPP

#include <medlarmoor/discovery/catalog_entry.hpp>
#include <medlarmoor/discovery/catalog_limits.hpp>
#include <medlarmoor/discovery/upstream_changes.hpp>

#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

namespace medlarmoor::discovery {

/// The upstreams of all services, from what the store lists and from how long
/// the store was out of reach. A decision object: it does no I/O and takes the
/// time with each call.
class Catalog {
public:
  explicit Catalog(CatalogLimits Limits);

  /// Takes what the store or a peer listed as of Revision.
  void apply(UpstreamChanges Changes, std::uint64_t Revision, TimePoint Now);
  /// Records that the store has been reachable again since RecoveredAt, after
  /// an outage. An earlier time than one recorded before is ignored.
  void storeRecovered(TimePoint RecoveredAt);
  /// Retires lapsed upstreams that did not register again in time, and evicts
  /// retired ones that no flow can use any more.
  void expire(TimePoint Now);

  /// The upstream that owns Tag, also when it is retired; null for none.
  [[nodiscard]] const CatalogEntry *find(affinity::Tag Tag) const noexcept;
  /// The upstreams of a service that take new flows, ordered by name.
  [[nodiscard]] const std::vector<const CatalogEntry *> &
  candidates(const ServiceName &Service) const noexcept;
  /// Upstreams that are listed.
  [[nodiscard]] std::size_t listedCount() const noexcept;
  /// What changed after Revision; all when that is no longer known.
  [[nodiscard]] UpstreamChanges changesSince(std::uint64_t Revision) const;
  /// True once a whole list was learnt.
  [[nodiscard]] bool ready() const noexcept { return Ready_; }

private:
  /// Adds or updates a listed upstream.
  void put(Upstream Listed, std::uint64_t Revision, TimePoint Now);
  /// Marks an upstream that the store no longer lists as lapsed if it may
  /// register again after an outage, otherwise as retired.
  void unlist(CatalogEntry &Entry, std::uint64_t Revision, TimePoint Now);
  /// Calls unlist() for all listed upstreams that are missing from Listed.
  void unlistMissing(const std::vector<Upstream> &Listed,
                     std::uint64_t Revision, TimePoint Now);
  /// Recomputes Owners_ and Candidates_ from Entries_.
  void rebuild();
  bool inReregistrationGrace(TimePoint Now) const noexcept;

  CatalogLimits Limits_;
  std::unordered_map<UpstreamName, std::unique_ptr<CatalogEntry>> Entries_;
  std::unordered_map<affinity::Tag, const CatalogEntry *> Owners_;
  std::unordered_map<ServiceName, std::vector<const CatalogEntry *>>
      Candidates_;
  std::optional<TimePoint> StoreRecoveredAt_;
  /// Changes up to this revision are not known one by one.
  std::uint64_t HistoryStart_ = 0;
  bool Ready_ = false;
};

} // namespace medlarmoor::discovery

#endif // MEDLARMOOR_DISCOVERY_CATALOG_HPP
