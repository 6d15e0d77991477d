#ifndef MEDLARMOOR_EDGE_DECISION_LOG_HPP
#define MEDLARMOOR_EDGE_DECISION_LOG_HPP

#include <medlarmoor/affinity/packet.hpp>
#include <medlarmoor/discovery/catalog.hpp>
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

/// Counts the decisions about packets and writes a line for each one that
/// changes the course of a flow.
class DecisionLog {
public:
  /// Age gives how old the list of upstreams is.
  DecisionLog(const discovery::Catalog &Upstreams,
              const routing::Router &Routes,
              std::function<Millis(TimePoint)> Age, telemetry::EventLog &Log,
              telemetry::Registry &Metrics);

  /// The decision about a packet.
  void decided(const affinity::Packet &In, const Decision &Made, TimePoint Now);
  /// A request failed at its upstream.
  void failed(const FailedRequest &Each, TimePoint Now);
  /// A peer's word made this instance avoid an upstream.
  void suspected(affinity::Tag Upstream, Endpoint Peer, TimePoint Now);
  /// The client of a flow fell silent before it ended.
  void silent(const affinity::FlowKey &Key, const placement::TrackedFlow &Flow,
              TimePoint Now);
  /// A datagram that is no packet came.
  void malformed() { Malformed_.add(); }
  /// The system did not take Count datagrams.
  void unsent(std::size_t Count) { Unsent_.add(Count); }
  /// Reports the lines that were left out. Call it about once a second.
  void flush(TimePoint Now);

private:
  void delivered(const affinity::Packet &In, const Deliver &To, TimePoint Now);
  void placed(const affinity::Packet &In, const Deliver &To, TimePoint Now);
  void moved(const affinity::Packet &In, const Deliver &To, TimePoint Now);
  void rejected(const affinity::Packet &In, const Reject &Made, TimePoint Now);
  void dropped(const affinity::Packet &In, const Drop &Made, TimePoint Now);
  void reportLeftOut(const char *Kind, telemetry::LogBudget &Lines,
                     TimePoint Now);

  [[nodiscard]] std::string nameOf(affinity::Tag Upstream) const;

  const discovery::Catalog &Upstreams_;
  const routing::Router &Routes_;
  std::function<Millis(TimePoint)> Age_;
  telemetry::EventLog &Log_;
  telemetry::Histogram &HandshakeTimes_;
  telemetry::Histogram &FlowTimes_;
  telemetry::Counter &Established_;
  telemetry::Counter &Placed_;
  telemetry::Counter &Repeated_;
  telemetry::Counter &Moved_;
  telemetry::Counter &Rejected_;
  telemetry::Counter &Dropped_;
  telemetry::Counter &SilentHandshakes_;
  telemetry::Counter &SilentFlows_;
  telemetry::Counter &ShortAnswers_;
  telemetry::Counter &Unanswered_;
  telemetry::Counter &Overdue_;
  telemetry::Counter &Suspected_;
  telemetry::Counter &Malformed_;
  telemetry::Counter &Unsent_;
  telemetry::LogBudget PlacedLines_;
  telemetry::LogBudget MovedLines_;
  telemetry::LogBudget RejectedLines_;
  telemetry::LogBudget DroppedLines_;
  telemetry::LogBudget SilentLines_;
  telemetry::LogBudget FailedLines_;
  telemetry::LogBudget SuspectedLines_;
};

} // namespace medlarmoor::edge

#endif // MEDLARMOOR_EDGE_DECISION_LOG_HPP
