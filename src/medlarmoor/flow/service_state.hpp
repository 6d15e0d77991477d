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

/// A consistent table and since when it decides.
struct TableGeneration {
  ConfigVersion Version_;
  TimePoint Since_;
  ConsistentTable Table_;
};

/// A service as the flow door of one entry sees it: its upstreams, and the
/// consistent tables of now and of the changes before.
class ServiceState {
public:
  explicit ServiceState(ServiceName Name);

  /// Takes the document's description. An upstream of the first description
  /// is ready at once, since it is the entry that is new then; one that comes
  /// later warms. True when the table has changed.
  bool adopt(const config::Service &Wanted, const DomainName &Domain,
             ConfigVersion Version, TimePoint Now);
  /// The document no longer names the service.
  void remove();
  /// Forgets tables that were replaced longer than Kept ago.
  void retire(TimePoint Now, Nanos Kept);

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
  /// The upstream of that number in messages.
  [[nodiscard]] std::optional<UpstreamIndex>
  findByWireId(std::uint16_t WireId) const noexcept;

  /// The newest table's upstream for a new flow; nothing when it is empty.
  [[nodiscard]] std::optional<UpstreamIndex>
  defaultOf(std::uint64_t FlowHash) const noexcept;
  /// The upstream of an established flow of which no record is known: that of
  /// the oldest table kept, as long as it can still be reached.
  [[nodiscard]] std::optional<UpstreamIndex>
  establishedDefaultOf(std::uint64_t FlowHash) const noexcept;
  /// True when some table kept would send the flow elsewhere, so that another
  /// entry must be told of it.
  [[nodiscard]] bool isOverride(std::uint64_t FlowHash,
                                UpstreamIndex Upstream) const noexcept;
  [[nodiscard]] const std::deque<TableGeneration> &
  generations() const noexcept {
    return Generations_;
  }

private:
  [[nodiscard]] UpstreamIndex findOrAdd(const config::Upstream &Wanted);
  void assignWireIds();
  [[nodiscard]] std::vector<TableShare> shares(const DomainName &Domain) const;
  [[nodiscard]] bool inAnyTable(UpstreamIndex Index) const noexcept;

  ServiceName Name_;
  std::uint64_t Seed_;
  std::uint32_t WireId_;
  config::ServicePolicy Policy_;
  std::vector<UpstreamState> Upstreams_;
  /// The oldest first; the last decides for new flows.
  std::deque<TableGeneration> Generations_;
};

} // namespace medlarmoor::flow

#endif // MEDLARMOOR_FLOW_SERVICE_STATE_HPP
