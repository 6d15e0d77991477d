#ifndef MEDLARMOOR_EDGE_DECISION_LOG_HPP
#define MEDLARMOOR_EDGE_DECISION_LOG_HPP

#include <medlarmoor/affinity/packet.hpp>
#include <medlarmoor/discovery/catalog.hpp>
#include <medlarmoor/edge/admission_log.hpp>
#include <medlarmoor/edge/decision.hpp>
#include <medlarmoor/placement/tracked_flow.hpp>
#include <medlarmoor/routing/router.hpp>
#include <medlarmoor/telemetry/event_log.hpp>
#include <medlarmoor/telemetry/log_budget.hpp>
#include <medlarmoor/telemetry/registry.hpp>

#include <cstddef>
#include <functional>
#include <string>

namespace medlarmoor::edge {

/// Counts the decisions about packets and logs each one that changes the course
/// of a flow, up to a rate limit for each event.
class DecisionLog {
public:
  /// ListAge returns the age of the upstream list at a time, or -1 ms before
  /// the first list. EvacuationAge returns that of the evacuations; it is empty
  /// if they are not read. LoadAge returns that of the peers' load reports, or
  /// -1 ms if there are none; it is empty if they are not exchanged.
  DecisionLog(const discovery::Catalog &Upstreams,
              const routing::Router &Routes,
              std::function<Millis(TimePoint)> ListAge,
              telemetry::EventLog &Log, telemetry::Registry &Metrics,
              std::function<Millis(TimePoint)> EvacuationAge = {},
              std::function<Millis(TimePoint)> LoadAge = {});

  /// Records the decision about a packet.
  void recordDecision(const affinity::Packet &Packet, const Decision &Action,
                      TimePoint Now);
  /// Records that a flow of this priority waits no longer.
  void recordReleased(unsigned Priority) {
    Admission_.recordReleased(Priority);
  }
  /// Records a request that failed at its upstream.
  void recordFailure(const FailedRequest &Failure, TimePoint Now);
  /// Records that this instance avoids an upstream because of a peer's report.
  void recordSuspect(affinity::Tag Upstream, Endpoint Peer, TimePoint Now);
  /// Records a flow that expired because its client stopped sending before the
  /// flow ended.
  void recordSilentFlow(const affinity::FlowKey &Key,
                        const placement::TrackedFlow &Flow, TimePoint Now);
  /// Counts a datagram that could not be parsed as a packet.
  void countMalformed() { Malformed_.add(); }
  /// Counts datagrams that the system did not accept for sending.
  void countUnsent(std::size_t Count) { Unsent_.add(Count); }
  /// Logs how many lines the rate limits have omitted. Must be called about
  /// once a second.
  void flush(TimePoint Now);

private:
  void recordDelivery(const affinity::Packet &Packet, const Deliver &Delivery,
                      TimePoint Now);
  void recordPlacement(const affinity::Packet &Packet, const Deliver &Delivery,
                       TimePoint Now);
  void recordMove(const affinity::Packet &Packet, const Deliver &Delivery,
                  TimePoint Now);
  void recordRejection(const affinity::Packet &Packet, const Reject &Rejection,
                       TimePoint Now);
  void recordDrop(const affinity::Packet &Packet, const Drop &Dropped,
                  TimePoint Now);
  void reportOmitted(const char *Event, telemetry::LogBudget &Lines,
                     TimePoint Now);

  /// Returns the upstream's name, or its tag when the catalog does not have it.
  [[nodiscard]] std::string upstreamName(affinity::Tag Upstream) const;

  const discovery::Catalog &Upstreams_;
  const routing::Router &Routes_;
  std::function<Millis(TimePoint)> ListAge_;
  std::function<Millis(TimePoint)> EvacuationAge_;
  telemetry::EventLog &Log_;
  telemetry::Histogram &HandshakeTimes_;
  telemetry::Histogram &FlowTimes_;
  telemetry::Counter &Established_;
  telemetry::Counter &Placed_;
  telemetry::Counter &Repeated_;
  telemetry::Counter &Moved_;
  telemetry::Counter &Rejected_;
  telemetry::Counter &Dropped_;
  telemetry::Counter &Held_;
  telemetry::Counter &SilentHandshakes_;
  telemetry::Counter &SilentFlows_;
  telemetry::Counter &ShortAnswers_;
  telemetry::Counter &Unanswered_;
  telemetry::Counter &Overdue_;
  telemetry::Counter &Suspected_;
  telemetry::Counter &WarmUpAdmitted_;
  telemetry::Counter &WarmUpLimited_;
  telemetry::Counter &Malformed_;
  telemetry::Counter &Unsent_;
  telemetry::LogBudget PlacedLines_;
  telemetry::LogBudget MovedLines_;
  telemetry::LogBudget RejectedLines_;
  telemetry::LogBudget DroppedLines_;
  telemetry::LogBudget SilentLines_;
  telemetry::LogBudget FailedLines_;
  telemetry::LogBudget SuspectedLines_;
  AdmissionLog Admission_;
};

} // namespace medlarmoor::edge

#endif // MEDLARMOOR_EDGE_DECISION_LOG_HPP
