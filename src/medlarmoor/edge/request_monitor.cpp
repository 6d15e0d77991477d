#include <medlarmoor/edge/request_monitor.hpp>

namespace medlarmoor::edge {

using placement::Outcome;
using placement::TrackedFlow;

namespace {

/// Clients repeat data that is not acknowledged after 200 ms.
constexpr Millis MinRepeatDelay{150};
/// Request timeout of a flow whose route is unknown or has no timeout.
constexpr Millis DefaultRequestTimeout{3000};

} // namespace

RequestMonitor::RequestMonitor(const routing::Router &Routes,
                               placement::UpstreamStats &Stats)
    : Routes_(Routes), Stats_(Stats) {}

std::optional<FailedRequest>
RequestMonitor::observe(TrackedFlow &Flow, const affinity::Packet &Packet,
                        TimePoint Now) {
  // The acknowledgement number of a reset is not meaningful.
  if (!Packet.Rst_ && Flow.acknowledge(Packet.Acknowledged_))
    Stats_.Silence_.recordResponse(Flow.Upstream_, Now);
  // The first bytes of the answer show that the upstream has processed the
  // request.
  if (Flow.Busy_ && Flow.RequestSent_ && Flow.receivedBytes() > 0) {
    Stats_.Flows_.setBusy(Flow, false);
    recordServiceTime(Packet.Flow_, Flow, Now);
  }
  if (Packet.Fin_ || Packet.Rst_)
    return complete(Flow, Packet.Flow_, Now);
  if (Packet.PayloadBytes_ == 0)
    return std::nullopt;
  // Data that follows at least part of an answer begins the next request.
  if (Flow.RequestSent_ && Flow.receivedBytes() == 0) {
    // A client sends a request at once; later data repeats it.
    if (Now - Flow.RequestedAt_ >= MinRepeatDelay)
      Stats_.Silence_.recordRepeatedRequest(Flow.Upstream_, Now);
    return std::nullopt;
  }
  std::optional<FailedRequest> Failed = complete(Flow, Packet.Flow_, Now);
  Stats_.Flows_.beginRequest(
      Packet.Flow_, Flow, Now + latencyObjective(Packet.Flow_.Virtual_), Now);
  return Failed;
}

FailedRequest RequestMonitor::recordOverdue(const affinity::FlowKey &Key,
                                            const TrackedFlow &Flow,
                                            TimePoint Now) {
  Stats_.FailureRates_.recordOverdue(Flow.Upstream_, Now);
  return makeFailure(Key, Flow, Outcome::Overdue, Now);
}

void RequestMonitor::recordSilent(const affinity::FlowKey &Key,
                                  const TrackedFlow &Flow, TimePoint Now) {
  if (Flow.RequestSent_ && Flow.receivedBytes() == 0)
    recordServiceTime(Key, Flow, Now);
}

std::optional<FailedRequest>
RequestMonitor::complete(TrackedFlow &Flow, const affinity::FlowKey &Key,
                         TimePoint Now) {
  if (!Flow.RequestSent_)
    return std::nullopt;
  if (Flow.receivedBytes() == 0)
    recordServiceTime(Key, Flow, Now);
  const Outcome Result = Stats_.FailureRates_.recordRequest(
      Key.Virtual_, Flow.Upstream_, Flow.receivedBytes(), Now);
  if (Result == Outcome::Answered)
    return std::nullopt;
  return makeFailure(Key, Flow, Result, Now);
}

FailedRequest RequestMonitor::makeFailure(const affinity::FlowKey &Key,
                                          const TrackedFlow &Flow,
                                          Outcome Result,
                                          TimePoint Now) const noexcept {
  return {Key,
          Flow.Upstream_,
          Result,
          Flow.receivedBytes(),
          Now - Flow.RequestedAt_,
          Stats_.FailureRates_.excess(Flow.Upstream_, Now)};
}

void RequestMonitor::recordServiceTime(const affinity::FlowKey &Key,
                                       const TrackedFlow &Flow, TimePoint Now) {
  Stats_.ServiceTimes_.recordRequest(Key.Virtual_, Flow.Upstream_,
                                     Now - Flow.RequestedAt_, Now);
  Work_.record(Key.Virtual_, Now - Flow.RequestedAt_);
}

void RequestMonitor::expire() {
  Work_.retain([this](Endpoint Virtual) { return Routes_.find(Virtual); });
}

Millis RequestMonitor::requestTimeout(Endpoint Virtual) const noexcept {
  const routing::Route *Route = Routes_.find(Virtual);
  return Route && Route->Timeout_ > Millis(0) ? Route->Timeout_
                                              : DefaultRequestTimeout;
}

Millis RequestMonitor::latencyObjective(Endpoint Virtual) const noexcept {
  const routing::Route *Route = Routes_.find(Virtual);
  return Route && Route->LatencyObjective_ > Millis(0)
             ? Route->LatencyObjective_
             : requestTimeout(Virtual);
}

} // namespace medlarmoor::edge
