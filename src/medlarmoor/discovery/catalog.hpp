#ifndef MEDLARMOOR_DISCOVERY_CATALOG_HPP
#define MEDLARMOOR_DISCOVERY_CATALOG_HPP

#include <medlarmoor/discovery/catalog_entry.hpp>
#include <medlarmoor/discovery/catalog_limits.hpp>

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

  /// The store lists exactly these. Names that are not among them are removed.
  void replaceAll(std::vector<Upstream> Listed, TimePoint Now);
  /// The store lists Changed now, or lists them with other values, and no
  /// longer lists Removed.
  void apply(std::vector<Upstream> Changed,
             const std::vector<UpstreamName> &Removed, TimePoint Now);
  /// The store answers again after an outage.
  void storeReturned(TimePoint Now);
  /// Retires lapsed upstreams that did not come back and forgets retired ones
  /// that no flow can use any more.
  void expire(TimePoint Now);

  /// The upstream that owns Tag, also when it is retired; null for none.
  [[nodiscard]] const CatalogEntry *find(affinity::Tag Tag) const noexcept;
  /// The upstreams of a service that take new flows, ordered by name.
  [[nodiscard]] const std::vector<const CatalogEntry *> &
  candidates(const ServiceName &Service) const noexcept;
  /// Upstreams that are listed.
  [[nodiscard]] std::size_t listed() const noexcept;
  /// All upstreams that are listed, for a neighbour that has no list.
  [[nodiscard]] std::vector<Upstream> snapshot() const;
  /// True once a whole list was learnt.
  [[nodiscard]] bool ready() const noexcept { return Ready_; }

private:
  void put(Upstream Each, TimePoint Now);
  void rebuild();
  bool withinGrace(TimePoint Now) const noexcept;
  void drop(CatalogEntry &Entry, TimePoint Now);

  CatalogLimits Limits_;
  std::unordered_map<UpstreamName, std::unique_ptr<CatalogEntry>> Entries_;
  std::unordered_map<affinity::Tag, const CatalogEntry *> Owners_;
  std::unordered_map<ServiceName, std::vector<const CatalogEntry *>>
      Candidates_;
  std::optional<TimePoint> StoreReturnedAt_;
  bool Ready_ = false;
};

} // namespace medlarmoor::discovery

#endif // MEDLARMOOR_DISCOVERY_CATALOG_HPP
