#ifndef MEDLARMOOR_FLOW_CONNECTION_TRACKER_HPP
#define MEDLARMOOR_FLOW_CONNECTION_TRACKER_HPP

#include <medlarmoor/flow/flow_table.hpp>
#include <medlarmoor/flow/service_registry.hpp>

namespace medlarmoor::flow {

/// The flow records of one entry together with its services, whose counts of
/// open flows it keeps in step with the records.
class ConnectionTracker {
public:
  /// Flows is the most that may be open; copies for other homes come on top.
  ConnectionTracker(DomainName Domain, std::size_t Flows);

  [[nodiscard]] ServiceRegistry &services() noexcept { return Services_; }
  [[nodiscard]] FlowTable &table() noexcept { return Table_; }
  [[nodiscard]] ServiceState &serviceOf(FlowId Id) noexcept {
    return Services_.at(Id.Service_);
  }
  [[nodiscard]] UpstreamState &upstreamOf(const FlowRecord &Record) noexcept {
    return serviceOf(Record.id()).upstreams()[Record.Upstream_];
  }
  /// True when some table kept would send the flow elsewhere, or an older
  /// copy of it has to be replaced.
  [[nodiscard]] bool isOverride(const FlowRecord &Record) noexcept;

  /// Adds an open flow; null when the table is full.
  [[nodiscard]] FlowRecord *open(FlowId Id, UpstreamIndex Upstream, Rule Why);
  /// Adds or replaces a copy that is kept for another home; null when full.
  FlowRecord *storeReplica(FlowId Id, UpstreamIndex Upstream, Stamp At);
  /// Makes a copy an open flow of this entry.
  void promote(FlowRecord &Record) noexcept;
  /// Makes an open flow a copy for its new home.
  void demote(FlowRecord &Record) noexcept;
  /// The flow no longer counts as open.
  void close(FlowRecord &Record) noexcept;
  void erase(FlowRecord *Record) noexcept;
  /// For use inside FlowTable::sweep, which erases by itself.
  void release(const FlowRecord &Record) noexcept;
  void clear() noexcept;

  /// Flows that this entry holds open as home.
  [[nodiscard]] std::size_t openFlows() const noexcept { return Open_; }
  [[nodiscard]] std::size_t limit() const noexcept { return Limit_; }

private:
  void count(const FlowRecord &Record, int Step) noexcept;

  ServiceRegistry Services_;
  FlowTable Table_;
  std::size_t Limit_;
  std::size_t Open_ = 0;
};

} // namespace medlarmoor::flow

#endif // MEDLARMOOR_FLOW_CONNECTION_TRACKER_HPP
