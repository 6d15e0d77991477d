#ifndef MEDLARMOOR_EDGE_EVACUATION_HANDLER_HPP
#define MEDLARMOOR_EDGE_EVACUATION_HANDLER_HPP

#include <medlarmoor/discovery/catalog.hpp>
#include <medlarmoor/objects/follower.hpp>
#include <medlarmoor/objects/stored_item.hpp>
#include <medlarmoor/telemetry/event_log.hpp>
#include <medlarmoor/telemetry/log_budget.hpp>
#include <medlarmoor/telemetry/registry.hpp>

#include <cstddef>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace medlarmoor::edge {

/// Applies evacuations of failure domains from the store and from peers to the
/// catalog, and reports them in logs and metrics. Performs no I/O except for
/// logging.
class EvacuationHandler {
public:
  using Items = std::vector<objects::StoredItem<DomainName>>;

  /// Collection is the follower of the evacuations. LocalDomain is the domain
  /// of this instance.
  EvacuationHandler(discovery::Catalog &Catalog,
                    const objects::Follower &Collection,
                    const DomainName &LocalDomain, telemetry::Registry &Metrics,
                    telemetry::EventLog &Log);

  /// Applies what the store returned: its complete list, or changes. An entry
  /// that cannot be read evacuates the domain of its name, because only the
  /// name has a meaning; without a name it has no effect.
  void handleItems(const Items &Received, bool Complete, TimePoint Now);
  /// Applies changes of a peer, which the follower has adopted.
  void handleChanges(const discovery::EvacuationChanges &Changes,
                     TimePoint Now) {
    apply(Changes, "peer", Now);
  }
  /// Updates the metrics and logs new evacuations of domains without
  /// upstreams. To be called a few times per second.
  void update(TimePoint Now);
  /// Returns the age of the evacuations, or -1 ms before the first list.
  [[nodiscard]] Millis age(TimePoint Now) const;

private:
  /// Source states where the changes came from: "store" or "peer".
  void apply(const discovery::EvacuationChanges &Changes, const char *Source,
             TimePoint Now);
  [[nodiscard]] std::size_t countUpstreams(const DomainName &Domain) const;
  [[nodiscard]] telemetry::Gauge &secondsGauge(const DomainName &Domain);
  void logUnreadable(const Items &Received, bool Complete, TimePoint Now);
  void logUnknownDomains(TimePoint Now);

  discovery::Catalog &Catalog_;
  const objects::Follower &Collection_;
  telemetry::Registry &Metrics_;
  telemetry::EventLog &Log_;
  telemetry::Gauge &DomainsGauge_;
  /// Gauges of the local domain and of the domains that have been evacuated
  /// while they had upstreams.
  std::unordered_map<DomainName, telemetry::Gauge *> SecondsGauges_;
  /// Evacuated domains of which it has not been checked whether they are known.
  std::unordered_set<DomainName> Unchecked_;
  /// Names of the entries that cannot be read, as already logged.
  std::unordered_set<std::string> Unreadable_;
  telemetry::LogBudget Lines_;
};

} // namespace medlarmoor::edge

#endif // MEDLARMOOR_EDGE_EVACUATION_HANDLER_HPP
