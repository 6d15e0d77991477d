#include <medlarmoor/edge/decision_log.hpp>

#include <medlarmoor/core/overloaded.hpp>
#include <medlarmoor/discovery/catalog_entry.hpp>

#include <utility>

namespace medlarmoor::edge {

namespace {

/// Maximum number of log lines per second for each event. Moves and rejections
/// are rarer than placements and explain more, so a larger share of them is
/// logged: moves have the same limit as placements, rejections a higher one.
constexpr std::uint32_t PlacedPerSecond = 100;
constexpr std::uint32_t MovedPerSecond = 100;
constexpr std::uint32_t RejectedPerSecond = 200;
constexpr std::uint32_t DroppedPerSecond = 50;
constexpr std::uint32_t SilentPerSecond = 50;
constexpr std::uint32_t FailedPerSecond = 100;
constexpr std::uint32_t SuspectedPerSecond = 50;

constexpr double PercentScale = 100.0;

constexpr const char *FailuresMetric = "medlarmoor_edge_failures_total";
constexpr const char *PacketsMetric = "medlarmoor_edge_packets_total";

const char *name(RejectReason Reason) {
  switch (Reason) {
  case RejectReason::NoRoute:
    return "no_route";
  case RejectReason::NoUpstream:
    return "no_upstream";
  case RejectReason::Overloaded:
    return "overloaded";
  case RejectReason::WarmingUp:
    return "warming_up";
  case RejectReason::Evacuated:
    return "evacuated";
  }
  return "unknown";
}

const char *name(DropReason Reason) {
  switch (Reason) {
  case DropReason::Outdated:
    return "outdated";
  case DropReason::HandshakePending:
    return "handshake_pending";
  case DropReason::UnknownTag:
    return "unknown_tag";
  case DropReason::Waiting:
    return "waiting";
  case DropReason::Stale:
    return "stale";
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
                         std::function<Millis(TimePoint)> ListAge,
                         telemetry::EventLog &Log, telemetry::Registry &Metrics,
                         std::function<Millis(TimePoint)> EvacuationAge,
                         std::function<Millis(TimePoint)> LoadAge)
    : Upstreams_(Upstreams), Routes_(Routes), ListAge_(std::move(ListAge)),
      EvacuationAge_(std::move(EvacuationAge)), Log_(Log),
      HandshakeTimes_(Metrics.histogram("medlarmoor_edge_handshake_seconds")),
      FlowTimes_(Metrics.histogram("medlarmoor_edge_flow_seconds")),
      Established_(Metrics.counter(PacketsMetric, "decision=\"established\"")),
      Placed_(Metrics.counter(PacketsMetric, "decision=\"placed\"")),
      Repeated_(Metrics.counter(PacketsMetric, "decision=\"repeated\"")),
      Moved_(Metrics.counter(PacketsMetric, "decision=\"moved\"")),
      Rejected_(Metrics.counter(PacketsMetric, "decision=\"rejected\"")),
      Dropped_(Metrics.counter(PacketsMetric, "decision=\"dropped\"")),
      Held_(Metrics.counter(PacketsMetric, "decision=\"held\"")),
      SilentHandshakes_(Metrics.counter("medlarmoor_edge_silent_total",
                                        "state=\"handshake\"")),
      SilentFlows_(
          Metrics.counter("medlarmoor_edge_silent_total", "state=\"open\"")),
      ShortAnswers_(
          Metrics.counter(FailuresMetric, "outcome=\"short_answer\"")),
      Unanswered_(Metrics.counter(FailuresMetric, "outcome=\"unanswered\"")),
      Overdue_(Metrics.counter(FailuresMetric, "outcome=\"overdue\"")),
      Suspected_(Metrics.counter("medlarmoor_edge_suspected_total")),
      WarmUpAdmitted_(Metrics.counter("medlarmoor_admission_warm_up_total",
                                      "decision=\"admitted\"")),
      WarmUpLimited_(Metrics.counter("medlarmoor_admission_warm_up_total",
                                     "decision=\"limited\"")),
      Malformed_(Metrics.counter(PacketsMetric, "decision=\"malformed\"")),
      Unsent_(Metrics.counter("medlarmoor_edge_unsent_total")),
      PlacedLines_(PlacedPerSecond), MovedLines_(MovedPerSecond),
      RejectedLines_(RejectedPerSecond), DroppedLines_(DroppedPerSecond),
      SilentLines_(SilentPerSecond), FailedLines_(FailedPerSecond),
      SuspectedLines_(SuspectedPerSecond),
      Admission_(std::move(LoadAge), Log, Metrics) {}

void DecisionLog::recordDecision(const affinity::Packet &Packet,
                                 const Decision &Action, TimePoint Now) {
  std::visit(
      Overloaded{[&](const Deliver &Delivery) {
                   recordDelivery(Packet, Delivery, Now);
                 },
                 [&](const Reject &Rejection) {
                   recordRejection(Packet, Rejection, Now);
                 },
                 [&](const Drop &Dropped) { recordDrop(Packet, Dropped, Now); },
                 [&](const Hold &) { Held_.add(); },
                 [&](const Enqueue &Waiting) {
                   Admission_.recordHeld(Packet.Flow_, Waiting.Queue_, Now);
                 }},
      Action);
}

void DecisionLog::flush(TimePoint Now) {
  reportOmitted("flow_placed", PlacedLines_, Now);
  reportOmitted("flow_moved", MovedLines_, Now);
  reportOmitted("flow_rejected", RejectedLines_, Now);
  reportOmitted("packet_dropped", DroppedLines_, Now);
  reportOmitted("flow_silent", SilentLines_, Now);
  reportOmitted("request_failed", FailedLines_, Now);
  reportOmitted("upstream_suspected", SuspectedLines_, Now);
  Admission_.flush(Now);
}

void DecisionLog::recordDelivery(const affinity::Packet &Packet,
                                 const Deliver &Delivery, TimePoint Now) {
  if (Delivery.Failed_)
    recordFailure(*Delivery.Failed_, Now);
  if (Delivery.WarmUp_)
    WarmUpAdmitted_.add();
  switch (Delivery.Reason_) {
  case DeliverReason::Established:
    return Established_.add();
  case DeliverReason::Opened:
    Established_.add();
    HandshakeTimes_.record(Delivery.Elapsed_);
    if (Delivery.Restored_)
      Log_.info("upstream_restored",
                {{"upstream", Delivery.Upstream_->Upstream_.Name_.value()},
                 {"flow", Packet.Flow_.text()}});
    return;
  case DeliverReason::Ended:
    Established_.add();
    return FlowTimes_.record(Delivery.Elapsed_);
  case DeliverReason::Repeated:
    return Repeated_.add();
  case DeliverReason::Placed:
    return recordPlacement(Packet, Delivery, Now);
  case DeliverReason::Moved:
    return recordMove(Packet, Delivery, Now);
  }
}

void DecisionLog::recordPlacement(const affinity::Packet &Packet,
                                  const Deliver &Delivery, TimePoint Now) {
  Placed_.add();
  if (Delivery.Queue_)
    Admission_.recordPlaced(*Delivery.Queue_);
  if (PlacedLines_.take(Now))
    Log_.info("flow_placed",
              {{"flow", Packet.Flow_.text()},
               {"upstream", Delivery.Upstream_->Upstream_.Name_.value()},
               {"copy", Packet.Acknowledged_},
               {"active", Delivery.Active_},
               {"candidates", Delivery.Candidates_},
               {"routes", Routes_.table().Version_.value()},
               {"list_age_ms", ListAge_(Now).count()}});
}

void DecisionLog::recordMove(const affinity::Packet &Packet,
                             const Deliver &Delivery, TimePoint Now) {
  Moved_.add();
  const std::string Previous = upstreamName(Delivery.Previous_);
  if (MovedLines_.take(Now))
    Log_.info("flow_moved",
              {{"flow", Packet.Flow_.text()},
               {"reason", "handshake_timeout"},
               {"from", Previous},
               {"upstream", Delivery.Upstream_->Upstream_.Name_.value()},
               {"copy", Packet.Acknowledged_},
               {"active", Delivery.Active_},
               {"candidates", Delivery.Candidates_},
               {"routes", Routes_.table().Version_.value()},
               {"list_age_ms", ListAge_(Now).count()}});
  if (Delivery.EjectedFor_ > Millis(0))
    Log_.info("upstream_ejected", {{"upstream", Previous},
                                   {"reason", "handshake_timeout"},
                                   {"flow", Packet.Flow_.text()},
                                   {"for_ms", Delivery.EjectedFor_.count()}});
}

void DecisionLog::recordFailure(const FailedRequest &Failure, TimePoint Now) {
  switch (Failure.Outcome_) {
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
    Log_.info("request_failed",
              {{"flow", Failure.Flow_.text()},
               {"upstream", upstreamName(Failure.Upstream_)},
               {"outcome", name(Failure.Outcome_)},
               {"received_bytes", Failure.ReceivedBytes_},
               {"elapsed_ms",
                std::chrono::duration_cast<Millis>(Failure.Elapsed_).count()},
               {"excess_percent",
                static_cast<int>(Failure.ExcessFailureRate_ * PercentScale)}});
}

void DecisionLog::recordSuspect(affinity::Tag Upstream, Endpoint Peer,
                                TimePoint Now) {
  Suspected_.add();
  if (SuspectedLines_.take(Now))
    Log_.info("upstream_suspected",
              {{"upstream", upstreamName(Upstream)}, {"peer", Peer.text()}});
}

void DecisionLog::recordSilentFlow(const affinity::FlowKey &Key,
                                   const placement::TrackedFlow &Flow,
                                   TimePoint Now) {
  (Flow.Open_ ? SilentFlows_ : SilentHandshakes_).add();
  if (!SilentLines_.take(Now))
    return;
  const auto Age = [Now](TimePoint Since) {
    return std::chrono::duration_cast<Millis>(Now - Since).count();
  };
  Log_.info("flow_silent", {{"flow", Key.text()},
                            {"upstream", upstreamName(Flow.Upstream_)},
                            {"state", Flow.Open_ ? "open" : "handshake"},
                            {"age_ms", Age(Flow.FirstSeen_)},
                            {"silent_ms", Age(Flow.LastPacketAt_)}});
}

std::string DecisionLog::upstreamName(affinity::Tag Upstream) const {
  const discovery::CatalogEntry *Entry = Upstreams_.find(Upstream);
  return Entry ? Entry->Upstream_.Name_.value()
               : "tag:" + std::to_string(Upstream.value());
}

void DecisionLog::recordRejection(const affinity::Packet &Packet,
                                  const Reject &Rejection, TimePoint Now) {
  Rejected_.add();
  if (Rejection.Reason_ == RejectReason::WarmingUp)
    WarmUpLimited_.add();
  if (Rejection.Queue_)
    return Admission_.recordRefused(Packet.Flow_, *Rejection.Queue_,
                                    name(Rejection.Reason_), Now);
  if (RejectedLines_.take(Now))
    Log_.info("flow_rejected", {{"flow", Packet.Flow_.text()},
                                {"reason", name(Rejection.Reason_)},
                                {"routes", Routes_.table().Version_.value()},
                                {"list_age_ms", ListAge_(Now).count()},
                                {"evacuations_age_ms",
                                 EvacuationAge_ ? EvacuationAge_(Now).count()
                                                : Millis::rep(-1)}});
}

void DecisionLog::recordDrop(const affinity::Packet &Packet,
                             const Drop &Dropped, TimePoint Now) {
  Dropped_.add();
  if (DroppedLines_.take(Now))
    Log_.info("packet_dropped", {{"flow", Packet.Flow_.text()},
                                 {"reason", name(Dropped.Reason_)},
                                 {"syn", Packet.Syn_ ? "yes" : "no"},
                                 {"tag", Packet.Tag_.value()},
                                 {"routes", Routes_.table().Version_.value()},
                                 {"list_age_ms", ListAge_(Now).count()}});
}

void DecisionLog::reportOmitted(const char *Event, telemetry::LogBudget &Lines,
                                TimePoint Now) {
  if (const auto Count = Lines.leftOut(Now))
    Log_.info("lines_left_out", {{"kind", Event}, {"count", *Count}});
}

} // namespace medlarmoor::edge
