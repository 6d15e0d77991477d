#ifndef MEDLARMOOR_FLOW_CONNECTION_TRACKER_HPP
#define MEDLARMOOR_FLOW_CONNECTION_TRACKER_HPP

#include <medlarmoor/flow/flow_table.hpp>
#include <medlarmoor/flow/service_registry.hpp>

namespace medlarmoor::flow {

/// Holds the flow records of one entry together with its services, and keeps
/// the services' counts of open flows in step with the records.
class ConnectionTracker {
public:
  /// MaxOpenFlows is the number of flows that may be open; replicas for other
  /// homes are not counted in it.
  ConnectionTracker(DomainName Domain, std::size_t MaxOpenFlows);

  [[nodiscard]] ServiceRegistry &services() noexcept { return Services_; }
  [[nodiscard]] FlowTable &table() noexcept { return Table_; }
  [[nodiscard]] ServiceState &serviceOf(FlowId Id) noexcept {
    return Services_.at(Id.Service_);
  }
  [[nodiscard]] UpstreamState &upstreamOf(const FlowRecord &Record) noexcept {
    return serviceOf(Record.id()).upstreams()[Record.Upstream_];
  }
  /// Returns true if the flow is an override: a retained table is empty or maps
  /// the flow to another upstream, or an older replica of the flow has to be
  /// replaced. Retained tables are the service's table in force and those that
  /// it has recently replaced. The record of an override is replicated to the
  /// successor, or sent to the home if this entry is not the home, because
  /// another entry cannot derive the upstream from its tables.
  [[nodiscard]] bool isOverride(const FlowRecord &Record) noexcept;

  /// Adds an open flow. Returns null if the limit is reached or the table is
  /// full.
  [[nodiscard]] FlowRecord *open(FlowId Id, UpstreamIndex Upstream,
                                 Rule ChosenBy);
  /// Adds or replaces a replica that is kept for another home. ReceivedAt is
  /// recorded as the time of the flow's last packet. Returns null if the table
  /// is full.
  FlowRecord *storeReplica(FlowId Id, UpstreamIndex Upstream, Stamp ReceivedAt);
  /// Turns a replica into an open flow of this entry.
  void promote(FlowRecord &Record) noexcept;
  /// Turns an open flow into a replica for its new home.
  void demote(FlowRecord &Record) noexcept;
  /// Marks the flow as closing; it no longer counts as open.
  void close(FlowRecord &Record) noexcept;
  void erase(FlowRecord *Record) noexcept;
  /// Removes the record from the counts, but not from the table. For use inside
  /// FlowTable::sweep, which erases the record itself.
  void removeFromCounts(const FlowRecord &Record) noexcept;
  /// Erases all flow records and removes them from the counts. The services
  /// and their tables remain.
  void clear() noexcept;

  /// Returns the number of flows that this entry holds open as home.
  [[nodiscard]] std::size_t openFlows() const noexcept { return Open_; }
  /// Returns the number of flows that may be open.
  [[nodiscard]] std::size_t maxOpenFlows() const noexcept {
    return MaxOpenFlows_;
  }

private:
  void count(const FlowRecord &Record, int Step) noexcept;

  ServiceRegistry Services_;
  FlowTable Table_;
  std::size_t MaxOpenFlows_;
  std::size_t Open_ = 0;
};

} // namespace medlarmoor::flow

#endif // MEDLARMOOR_FLOW_CONNECTION_TRACKER_HPP
