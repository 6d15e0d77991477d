#ifndef MEDLARMOOR_EDGE_REQUEST_MONITOR_HPP
#define MEDLARMOOR_EDGE_REQUEST_MONITOR_HPP

#include <medlarmoor/admission/work_estimates.hpp>
#include <medlarmoor/affinity/packet.hpp>
#include <medlarmoor/edge/failed_request.hpp>
#include <medlarmoor/placement/upstream_stats.hpp>
#include <medlarmoor/routing/router.hpp>

#include <optional>

namespace medlarmoor::edge {

/// Infers the requests on open flows, their service times and their outcomes
/// from the clients' packets, and records them in the measurements about the
/// upstreams.
class RequestMonitor {
public:
  RequestMonitor(const routing::Router &Routes,
                 placement::UpstreamStats &Stats);

  /// Tracks the beginning and the end of requests on an open flow. Returns the
  /// request that the packet shows to have failed, if there is one.
  std::optional<FailedRequest> observe(placement::TrackedFlow &Flow,
                                       const affinity::Packet &Packet,
                                       TimePoint Now);
  /// Records that the current request of a flow exceeded the latency objective
  /// without an answer.
  FailedRequest recordOverdue(const affinity::FlowKey &Key,
                              const placement::TrackedFlow &Flow,
                              TimePoint Now);
  /// Records that the client of a flow has stopped sending.
  void recordSilent(const affinity::FlowKey &Key,
                    const placement::TrackedFlow &Flow, TimePoint Now);
  /// Returns the time after which a request to the virtual address has failed.
  [[nodiscard]] Millis requestTimeout(Endpoint Virtual) const noexcept;

  /// Returns the time within which a request to the virtual address is to be
  /// answered.
  [[nodiscard]] Millis latencyObjective(Endpoint Virtual) const noexcept;
  /// Returns how long an upstream is expected to work on a request to the
  /// virtual address; 0 if none has been seen.
  [[nodiscard]] Nanos workEstimate(Endpoint Virtual) const noexcept {
    return Work_.estimate(Virtual);
  }
  /// Drops what is known about routes that no longer exist.
  void expire();

private:
  /// Classifies the outcome of the flow's request, if there is one, when the
  /// client has ended it or begins the next one.
  std::optional<FailedRequest> complete(placement::TrackedFlow &Flow,
                                        const affinity::FlowKey &Key,
                                        TimePoint Now);
  [[nodiscard]] FailedRequest makeFailure(const affinity::FlowKey &Key,
                                          const placement::TrackedFlow &Flow,
                                          placement::Outcome Result,
                                          TimePoint Now) const noexcept;
  /// Records how long the upstream has taken to process the flow's request.
  void recordServiceTime(const affinity::FlowKey &Key,
                         const placement::TrackedFlow &Flow, TimePoint Now);

  const routing::Router &Routes_;
  placement::UpstreamStats &Stats_;
  admission::WorkEstimates Work_;
};

} // namespace medlarmoor::edge

#endif // MEDLARMOOR_EDGE_REQUEST_MONITOR_HPP
