#include <medlarmoor/edge/decision_log.hpp>

#include <medlarmoor/core/overloaded.hpp>
#include <medlarmoor/discovery/catalog_entry.hpp>

#include <utility>

namespace medlarmoor::edge {

namespace {

/// Lines a second of each kind. Refusals and moves are rarer than placements
/// and explain more, so that they have the larger share of their kind.
constexpr std::uint32_t PlacedPerSecond = 100;
constexpr std::uint32_t MovedPerSecond = 100;
constexpr std::uint32_t RejectedPerSecond = 200;
constexpr std::uint32_t DroppedPerSecond = 50;

constexpr const char *PacketsMetric = "medlarmoor_edge_packets_total";

const char *name(RejectReason Reason) {
  switch (Reason) {
  case RejectReason::NoRoute:
    return "no_route";
  case RejectReason::NoUpstream:
    return "no_upstream";
  }
  return "unknown";
}

const char *name(DropReason Reason) {
  switch (Reason) {
  case DropReason::NotReady:
    return "not_ready";
  case DropReason::Outdated:
    return "outdated";
  case DropReason::UnknownTag:
    return "unknown_tag";
  }
  return "unknown";
}

} // namespace

DecisionLog::DecisionLog(const routing::Router &Routes,
                         std::function<Millis(TimePoint)> Age,
                         telemetry::EventLog &Log, telemetry::Registry &Metrics)
    : Routes_(Routes), Age_(std::move(Age)), Log_(Log),
      Established_(Metrics.counter(PacketsMetric, "decision=\"established\"")),
      Placed_(Metrics.counter(PacketsMetric, "decision=\"placed\"")),
      Repeated_(Metrics.counter(PacketsMetric, "decision=\"repeated\"")),
      Moved_(Metrics.counter(PacketsMetric, "decision=\"moved\"")),
      Rejected_(Metrics.counter(PacketsMetric, "decision=\"rejected\"")),
      Dropped_(Metrics.counter(PacketsMetric, "decision=\"dropped\"")),
      Malformed_(Metrics.counter(PacketsMetric, "decision=\"malformed\"")),
      Unsent_(Metrics.counter("medlarmoor_edge_unsent_total")),
      PlacedLines_(PlacedPerSecond), MovedLines_(MovedPerSecond),
      RejectedLines_(RejectedPerSecond), DroppedLines_(DroppedPerSecond) {}

void DecisionLog::decided(const affinity::Packet &In, const Decision &Made,
                          TimePoint Now) {
  std::visit(Overloaded{[&](const Deliver &Each) { delivered(In, Each, Now); },
                        [&](const Reject &Each) { rejected(In, Each, Now); },
                        [&](const Drop &Each) { dropped(In, Each, Now); }},
             Made);
}

void DecisionLog::flush(TimePoint Now) {
  reportLeftOut("flow_placed", PlacedLines_, Now);
  reportLeftOut("flow_moved", MovedLines_, Now);
  reportLeftOut("flow_rejected", RejectedLines_, Now);
  reportLeftOut("packet_dropped", DroppedLines_, Now);
}

void DecisionLog::delivered(const affinity::Packet &In, const Deliver &To,
                            TimePoint Now) {
  switch (To.Reason_) {
  case DeliverReason::Established:
    return Established_.add();
  case DeliverReason::Repeated:
    return Repeated_.add();
  case DeliverReason::Placed:
    Placed_.add();
    if (PlacedLines_.take(Now))
      Log_.info("flow_placed",
                {{"flow", In.Flow_.text()},
                 {"upstream", To.Upstream_->Upstream_.Name_.value()},
                 {"active", To.Active_},
                 {"candidates", To.Candidates_},
                 {"routes", Routes_.table().Version_.value()},
                 {"list_age_ms", Age_(Now).count()}});
    return;
  case DeliverReason::Moved:
    Moved_.add();
    if (MovedLines_.take(Now))
      Log_.info("flow_moved",
                {{"flow", In.Flow_.text()},
                 {"reason", "handshake_timeout"},
                 {"upstream", To.Upstream_->Upstream_.Name_.value()},
                 {"copy", In.Acknowledged_},
                 {"active", To.Active_},
                 {"candidates", To.Candidates_},
                 {"routes", Routes_.table().Version_.value()},
                 {"list_age_ms", Age_(Now).count()}});
    return;
  }
}

void DecisionLog::rejected(const affinity::Packet &In, const Reject &Made,
                           TimePoint Now) {
  Rejected_.add();
  if (RejectedLines_.take(Now))
    Log_.info("flow_rejected", {{"flow", In.Flow_.text()},
                                {"reason", name(Made.Reason_)},
                                {"routes", Routes_.table().Version_.value()},
                                {"list_age_ms", Age_(Now).count()}});
}

void DecisionLog::dropped(const affinity::Packet &In, const Drop &Made,
                          TimePoint Now) {
  Dropped_.add();
  if (DroppedLines_.take(Now))
    Log_.info("packet_dropped", {{"flow", In.Flow_.text()},
                                 {"reason", name(Made.Reason_)},
                                 {"syn", In.Syn_ ? "yes" : "no"},
                                 {"tag", In.Tag_.value()},
                                 {"routes", Routes_.table().Version_.value()},
                                 {"list_age_ms", Age_(Now).count()}});
}

void DecisionLog::reportLeftOut(const char *Kind, telemetry::LogBudget &Lines,
                                TimePoint Now) {
  if (const auto Count = Lines.leftOut(Now))
    Log_.info("lines_left_out", {{"kind", Kind}, {"count", *Count}});
}

} // namespace medlarmoor::edge
