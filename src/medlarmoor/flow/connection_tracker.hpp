#ifndef MEDLARMOOR_FLOW_CONNECTION_TRACKER_HPP
#define MEDLARMOOR_FLOW_CONNECTION_TRACKER_HPP

#include <medlarmoor/flow/flow_table.hpp>
#include <medlarmoor/flow/service_registry.hpp>

namespace medlarmoor::flow {

/// Holds the flow records of one entry together with its services, and keeps
/// the services' counts of open flows in step with the records.
class ConnectionTracker {
public:
  /// MaxFlows is the number of flows that may be open; replicas for other homes
  /// are not counted in it.
  ConnectionTracker(DomainName Domain, std::size_t MaxFlows);

  [[nodiscard]] ServiceRegistry &services() noexcept { return Services_; }
  [[nodiscard]] FlowTable &table() noexcept { return Table_; }
  [[nodiscard]] ServiceState &serviceOf(FlowId Id) noexcept {
    return Services_.at(Id.Service_);
  }
  [[nodiscard]] UpstreamState &upstreamOf(const FlowRecord &Record) noexcept {
    return serviceOf(Record.id()).upstreams()[Record.Upstream_];
  }
  /// Returns true if some retained table maps the flow to another upstream, or
  /// if an older replica of the flow has to be replaced.
  [[nodiscard]] bool isOverride(const FlowRecord &Record) noexcept;

  /// Adds an open flow. Returns null if the limit is reached or the table is
  /// full.
  [[nodiscard]] FlowRecord *open(FlowId Id, UpstreamIndex Upstream,
                                 Rule ChosenBy);
  /// Adds or replaces a replica that is kept for another home. Returns null if
  /// the table is full.
  FlowRecord *storeReplica(FlowId Id, UpstreamIndex Upstream, Stamp At);
  /// Turns a replica into an open flow of this entry.
  void promote(FlowRecord &Record) noexcept;
  /// Turns an open flow into a replica for its new home.
  void demote(FlowRecord &Record) noexcept;
  /// Marks the flow as closing; it no longer counts as open.
  void close(FlowRecord &Record) noexcept;
  void erase(FlowRecord *Record) noexcept;
  /// Removes the record from the counts only. For use inside FlowTable::sweep,
  /// which erases the record itself.
  void release(const FlowRecord &Record) noexcept;
  void clear() noexcept;

  /// Returns the number of flows that this entry holds open as home.
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
