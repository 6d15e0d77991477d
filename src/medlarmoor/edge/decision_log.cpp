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
constexpr std::uint32_t SilentPerSecond = 50;
constexpr std::uint32_t FailedPerSecond = 100;
constexpr std::uint32_t SuspectedPerSecond = 50;

constexpr double PercentOfWhole = 100.0;

constexpr const char *FailuresMetric = "medlarmoor_edge_failures_total";
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
  case DropReason::HandshakePending:
    return "handshake_pending";
  case DropReason::UnknownTag:
    return "unknown_tag";
  }
  return "unknown";
}

const char *name(placement::Outcome Outcome) {
  switch (Outcome) {
  case placement::Outcome::Answered:
    return "answered";
  case placement::Outcome::ShortAnswer:
    return "short_answer";
  case placement::Outcome::Unanswered:
    return "unanswered";
  case placement::Outcome::Overdue:
    return "overdue";
  }
  return "unknown";
}

} // namespace

DecisionLog::DecisionLog(const discovery::Catalog &Upstreams,
                         const routing::Router &Routes,
                         std::function<Millis(TimePoint)> Age,
                         telemetry::EventLog &Log, telemetry::Registry &Metrics)
    : Upstreams_(Upstreams), Routes_(Routes), Age_(std::move(Age)), Log_(Log),
      HandshakeTimes_(Metrics.histogram("medlarmoor_edge_handshake_seconds")),
      FlowTimes_(Metrics.histogram("medlarmoor_edge_flow_seconds")),
      Established_(Metrics.counter(PacketsMetric, "decision=\"established\"")),
      Placed_(Metrics.counter(PacketsMetric, "decision=\"placed\"")),
      Repeated_(Metrics.counter(PacketsMetric, "decision=\"repeated\"")),
      Moved_(Metrics.counter(PacketsMetric, "decision=\"moved\"")),
      Rejected_(Metrics.counter(PacketsMetric, "decision=\"rejected\"")),
      Dropped_(Metrics.counter(PacketsMetric, "decision=\"dropped\"")),
      SilentHandshakes_(Metrics.counter("medlarmoor_edge_silent_total",
                                        "state=\"handshake\"")),
      SilentFlows_(
          Metrics.counter("medlarmoor_edge_silent_total", "state=\"open\"")),
      ShortAnswers_(
          Metrics.counter(FailuresMetric, "outcome=\"short_answer\"")),
      Unanswered_(Metrics.counter(FailuresMetric, "outcome=\"unanswered\"")),
      Overdue_(Metrics.counter(FailuresMetric, "outcome=\"overdue\"")),
      Suspected_(Metrics.counter("medlarmoor_edge_suspected_total")),
      Malformed_(Metrics.counter(PacketsMetric, "decision=\"malformed\"")),
      Unsent_(Metrics.counter("medlarmoor_edge_unsent_total")),
      PlacedLines_(PlacedPerSecond), MovedLines_(MovedPerSecond),
      RejectedLines_(RejectedPerSecond), DroppedLines_(DroppedPerSecond),
      SilentLines_(SilentPerSecond), FailedLines_(FailedPerSecond),
      SuspectedLines_(SuspectedPerSecond) {}

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
  reportLeftOut("flow_silent", SilentLines_, Now);
  reportLeftOut("request_failed", FailedLines_, Now);
  reportLeftOut("upstream_suspected", SuspectedLines_, Now);
}

void DecisionLog::delivered(const affinity::Packet &In, const Deliver &To,
                            TimePoint Now) {
  if (To.Failed_)
    failed(*To.Failed_, Now);
  switch (To.Reason_) {
  case DeliverReason::Established:
    return Established_.add();
  case DeliverReason::Opened:
    Established_.add();
    HandshakeTimes_.record(To.Elapsed_);
    if (To.Restored_)
      Log_.info("upstream_restored",
                {{"upstream", To.Upstream_->Upstream_.Name_.value()},
                 {"flow", In.Flow_.text()}});
    return;
  case DeliverReason::Ended:
    Established_.add();
    return FlowTimes_.record(To.Elapsed_);
  case DeliverReason::Repeated:
    return Repeated_.add();
  case DeliverReason::Placed:
    return placed(In, To, Now);
  case DeliverReason::Moved:
    return moved(In, To, Now);
  }
}

void DecisionLog::placed(const affinity::Packet &In, const Deliver &To,
                         TimePoint Now) {
  Placed_.add();
  if (PlacedLines_.take(Now))
    Log_.info("flow_placed",
              {{"flow", In.Flow_.text()},
               {"upstream", To.Upstream_->Upstream_.Name_.value()},
               {"copy", In.Acknowledged_},
               {"active", To.Active_},
               {"candidates", To.Candidates_},
               {"routes", Routes_.table().Version_.value()},
               {"list_age_ms", Age_(Now).count()}});
}

void DecisionLog::moved(const affinity::Packet &In, const Deliver &To,
                        TimePoint Now) {
  Moved_.add();
  const std::string Previous = nameOf(To.Previous_);
  if (MovedLines_.take(Now))
    Log_.info("flow_moved",
              {{"flow", In.Flow_.text()},
               {"reason", "handshake_timeout"},
               {"from", Previous},
               {"upstream", To.Upstream_->Upstream_.Name_.value()},
               {"copy", In.Acknowledged_},
               {"active", To.Active_},
               {"candidates", To.Candidates_},
               {"routes", Routes_.table().Version_.value()},
               {"list_age_ms", Age_(Now).count()}});
  if (To.Ejected_ > Millis(0))
    Log_.info("upstream_ejected", {{"upstream", Previous},
                                   {"reason", "handshake_timeout"},
                                   {"flow", In.Flow_.text()},
                                   {"for_ms", To.Ejected_.count()}});
}

void DecisionLog::failed(const FailedRequest &Each, TimePoint Now) {
  switch (Each.Outcome_) {
  case placement::Outcome::Answered:
    return;
  case placement::Outcome::ShortAnswer:
    ShortAnswers_.add();
    break;
  case placement::Outcome::Unanswered:
    Unanswered_.add();
    break;
  case placement::Outcome::Overdue:
    Overdue_.add();
    break;
  }
  if (FailedLines_.take(Now))
    Log_.info(
        "request_failed",
        {{"flow", Each.Flow_.text()},
         {"upstream", nameOf(Each.Upstream_)},
         {"outcome", name(Each.Outcome_)},
         {"received_bytes", Each.Received_},
         {"elapsed_ms",
          std::chrono::duration_cast<Millis>(Each.Elapsed_).count()},
         {"excess_percent", static_cast<int>(Each.Excess_ * PercentOfWhole)}});
}

void DecisionLog::suspected(affinity::Tag Upstream, Endpoint Peer,
                            TimePoint Now) {
  Suspected_.add();
  if (SuspectedLines_.take(Now))
    Log_.info("upstream_suspected",
              {{"upstream", nameOf(Upstream)}, {"peer", Peer.text()}});
}

void DecisionLog::silent(const affinity::FlowKey &Key,
                         const placement::TrackedFlow &Flow, TimePoint Now) {
  (Flow.Open_ ? SilentFlows_ : SilentHandshakes_).add();
  if (!SilentLines_.take(Now))
    return;
  const auto Age = [Now](TimePoint Since) {
    return std::chrono::duration_cast<Millis>(Now - Since).count();
  };
  Log_.info("flow_silent", {{"flow", Key.text()},
                            {"upstream", nameOf(Flow.Upstream_)},
                            {"state", Flow.Open_ ? "open" : "handshake"},
                            {"age_ms", Age(Flow.FirstSeen_)},
                            {"timeout_ms", Flow.Timeout_.count()}});
}

std::string DecisionLog::nameOf(affinity::Tag Upstream) const {
  const discovery::CatalogEntry *Known = Upstreams_.find(Upstream);
  return Known ? Known->Upstream_.Name_.value()
               : "tag:" + std::to_string(Upstream.value());
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
