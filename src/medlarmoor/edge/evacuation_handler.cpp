#include <medlarmoor/edge/evacuation_handler.hpp>

#include <chrono>
#include <utility>

namespace medlarmoor::edge {

namespace {

/// Maximum number of log lines per second about evacuations. A deployment has
/// fewer domains.
constexpr std::uint32_t LinesPerSecond = 20;

/// Returns a label of the Prometheus text format. Domains are arbitrary texts
/// from the store.
std::string domainLabel(const DomainName &Domain) {
  std::string Label = "domain=\"";
  for (const char Character : Domain.value()) {
    if (Character == '\\' || Character == '"')
      Label += '\\';
    Label += Character == '\n' ? std::string("\\n") : std::string(1, Character);
  }
  return Label + '"';
}

} // namespace

EvacuationHandler::EvacuationHandler(discovery::Catalog &Catalog,
                                     const objects::Follower &Collection,
                                     const DomainName &LocalDomain,
                                     telemetry::Registry &Metrics,
                                     telemetry::EventLog &Log)
    : Catalog_(Catalog), Collection_(Collection), Metrics_(Metrics), Log_(Log),
      DomainsGauge_(Metrics.gauge("medlarmoor_edge_evacuated_domains")),
      Lines_(LinesPerSecond) {
  SecondsGauges_.emplace(LocalDomain, &secondsGauge(LocalDomain));
}

void EvacuationHandler::handleItems(const Items &Received, bool Complete,
                                    TimePoint Now) {
  logUnreadable(Received, Complete, Now);
  discovery::EvacuationChanges Changes;
  Changes.IsFullSnapshot_ = Complete;
  for (const auto &Item : Received) {
    if (Item.Name_.empty())
      continue;
    const bool Exists = Item.Value_ || !Item.Error_.empty();
    if (Exists)
      Changes.Listed_.emplace_back(Item.Name_);
    else if (!Complete)
      Changes.Removed_.emplace_back(Item.Name_);
  }
  apply(Changes, "store", Now);
}

void EvacuationHandler::update(TimePoint Now) {
  const discovery::Evacuations &Evacuated = Catalog_.evacuations();
  DomainsGauge_.set(static_cast<std::int64_t>(Evacuated.size()));
  // Other domains than the local one have a gauge only if they have upstreams,
  // so that an entry with any other name does not add a metric.
  if (Evacuated.size() > 0)
    for (const auto &[Domain, Count] : Catalog_.domains())
      if (Evacuated.contains(Domain))
        SecondsGauges_.try_emplace(Domain, &secondsGauge(Domain));
  for (const auto &[Domain, Gauge] : SecondsGauges_) {
    const auto Since = Evacuated.since(Domain);
    Gauge->set(Since ? std::chrono::duration_cast<Seconds>(Now - *Since).count()
                     : 0);
  }
  logUnknownDomains(Now);
  if (const auto Count = Lines_.leftOut(Now))
    Log_.info("lines_left_out", {{"kind", "evacuations"}, {"count", *Count}});
}

Millis EvacuationHandler::age(TimePoint Now) const {
  const auto AsOf = Collection_.currentAsOf();
  return AsOf ? std::chrono::duration_cast<Millis>(Now - *AsOf) : Millis(-1);
}

void EvacuationHandler::apply(const discovery::EvacuationChanges &Changes,
                              const char *Source, TimePoint Now) {
  const discovery::EvacuationChanges Effect =
      Catalog_.applyEvacuations(Changes, Collection_.revision(), Now);
  for (const DomainName &Domain : Effect.Removed_) {
    Unchecked_.erase(Domain);
    if (Lines_.take(Now))
      Log_.info("evacuation_ended",
                {{"domain", Domain.value()},
                 {"revision", Collection_.revision().Number_},
                 {"source", Source},
                 {"upstreams", countUpstreams(Domain)},
                 {"age_ms", age(Now).count()}});
  }
  for (const DomainName &Domain : Effect.Listed_) {
    Unchecked_.insert(Domain);
    if (Lines_.take(Now))
      Log_.info("evacuation_started",
                {{"domain", Domain.value()},
                 {"revision", Collection_.revision().Number_},
                 {"source", Source},
                 {"upstreams", countUpstreams(Domain)},
                 {"age_ms", age(Now).count()}});
  }
}

telemetry::Gauge &EvacuationHandler::secondsGauge(const DomainName &Domain) {
  return Metrics_.gauge("medlarmoor_edge_evacuated_seconds",
                        domainLabel(Domain));
}

std::size_t EvacuationHandler::countUpstreams(const DomainName &Domain) const {
  const auto Found = Catalog_.domains().find(Domain);
  return Found == Catalog_.domains().end() ? 0 : Found->second;
}

void EvacuationHandler::logUnreadable(const Items &Received, bool Complete,
                                      TimePoint Now) {
  std::unordered_set<std::string> Unreadable;
  for (const auto &Item : Received) {
    if (Item.Error_.empty()) {
      Unreadable_.erase(Item.Name_);
      continue;
    }
    Unreadable.insert(Item.Name_);
    // A list repeats what is known already.
    if (!Unreadable_.contains(Item.Name_) && Lines_.take(Now))
      Log_.warn("evacuation_unreadable",
                {{"name", Item.Name_}, {"reason", Item.Error_}});
  }
  if (Complete)
    Unreadable_ = std::move(Unreadable);
  else
    Unreadable_.merge(Unreadable);
}

void EvacuationHandler::logUnknownDomains(TimePoint Now) {
  // Before the first list of upstreams, all domains are unknown.
  if (!Catalog_.listed())
    return;
  for (const DomainName &Domain : Unchecked_)
    if (!Catalog_.domains().contains(Domain) && Lines_.take(Now))
      Log_.warn("evacuation_unknown_domain",
                {{"domain", Domain.value()},
                 {"revision", Collection_.revision().Number_},
                 {"age_ms", age(Now).count()}});
  Unchecked_.clear();
}

} // namespace medlarmoor::edge
