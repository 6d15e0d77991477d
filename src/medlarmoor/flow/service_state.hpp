#ifndef MEDLARMOOR_FLOW_SERVICE_STATE_HPP
#define MEDLARMOOR_FLOW_SERVICE_STATE_HPP

#include <medlarmoor/config/service.hpp>
#include <medlarmoor/core/time.hpp>
#include <medlarmoor/flow/consistent_table.hpp>
#include <medlarmoor/flow/upstream_state.hpp>

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace medlarmoor::flow {

/// A consistent table, and the version and time at which it came into force.
struct TableGeneration {
  ConfigVersion Version_;
  TimePoint Since_;
  ConsistentTable Table_;
};

/// The state of a service as one entry's flow listener knows it: its upstreams,
/// the consistent table in force and the tables before the latest changes.
class ServiceState {
public:
  explicit ServiceState(ServiceName Name);

  /// Adopts the document's description of the service. Upstreams of the first
  /// description are ready at once, because then it is the entry that is new;
  /// upstreams that are added later start warming. Returns true if the table
  /// has changed.
  bool adopt(const config::Service &Description, const DomainName &Domain,
             ConfigVersion Version, TimePoint Now);
  /// Marks all upstreams as removed; for a service that the document no longer
  /// names.
  void remove();
  /// Removes tables that were replaced longer than Retention ago.
  void retire(TimePoint Now, Nanos Retention);

  [[nodiscard]] const ServiceName &name() const noexcept { return Name_; }
  [[nodiscard]] std::uint64_t seed() const noexcept { return Seed_; }
  [[nodiscard]] std::uint32_t wireId() const noexcept { return WireId_; }
  [[nodiscard]] const config::ServicePolicy &policy() const noexcept {
    return Policy_;
  }
  [[nodiscard]] std::vector<UpstreamState> &upstreams() noexcept {
    return Upstreams_;
  }
  [[nodiscard]] const std::vector<UpstreamState> &upstreams() const noexcept {
    return Upstreams_;
  }
  /// Returns the upstream that messages identify by WireId.
  [[nodiscard]] std::optional<UpstreamIndex>
  findByWireId(std::uint16_t WireId) const noexcept;

  /// Returns the newest table's upstream for a new flow, or nothing if that
  /// table is empty.
  [[nodiscard]] std::optional<UpstreamIndex>
  defaultOf(std::uint64_t FlowHash) const noexcept;
  /// Returns the upstream of an established flow that has no record: that of
  /// the oldest retained table whose upstream can still be reached.
  [[nodiscard]] std::optional<UpstreamIndex>
  establishedDefaultOf(std::uint64_t FlowHash) const noexcept;
  /// Returns true if some retained table maps the flow to another upstream, so
  /// that the flow must be replicated to another entry.
  [[nodiscard]] bool isOverride(std::uint64_t FlowHash,
                                UpstreamIndex Upstream) const noexcept;
  [[nodiscard]] const std::deque<TableGeneration> &
  generations() const noexcept {
    return Generations_;
  }

private:
  [[nodiscard]] UpstreamIndex findOrAdd(const config::Upstream &Description);
  void assignWireIds();
  [[nodiscard]] std::vector<TableShare> shares(const DomainName &Domain) const;
  [[nodiscard]] bool inAnyTable(UpstreamIndex Index) const noexcept;

  ServiceName Name_;
  std::uint64_t Seed_;
  std::uint32_t WireId_;
  config::ServicePolicy Policy_;
  std::vector<UpstreamState> Upstreams_;
  /// Oldest first; the last one decides for new flows.
  std::deque<TableGeneration> Generations_;
};

} // namespace medlarmoor::flow

#endif // MEDLARMOOR_FLOW_SERVICE_STATE_HPP
