#ifndef MEDLARMOOR_EDGE_FORWARDER_HPP
#define MEDLARMOOR_EDGE_FORWARDER_HPP

#include <medlarmoor/affinity/packet.hpp>
#include <medlarmoor/discovery/catalog.hpp>
#include <medlarmoor/edge/decision.hpp>
#include <medlarmoor/edge/forwarder_options.hpp>
#include <medlarmoor/edge/freshness.hpp>
#include <medlarmoor/edge/placer.hpp>
#include <medlarmoor/edge/request_monitor.hpp>
#include <medlarmoor/placement/upstream_reports.hpp>
#include <medlarmoor/placement/upstream_stats.hpp>
#include <medlarmoor/routing/router.hpp>

#include <optional>
#include <utility>
#include <vector>

namespace medlarmoor::edge {

/// Decides how each packet of a client is handled. Packets of established flows
/// are forwarded by their tag and need no state; for a SYN an upstream is
/// chosen. Performs no I/O.
class Forwarder {
public:
  Forwarder(discovery::Catalog &Catalog, const routing::Router &Routes,
            placement::Selector Selector, placement::EjectionLimits Ejections,
            ForwarderOptions Options = {});

  /// Returns true once routes and upstreams have been loaded.
  [[nodiscard]] bool ready() const noexcept {
    return Routes_.ready() && Catalog_.ready();
  }
  /// Decides how Packet is handled. When it is delivered, its tag is set to
  /// that of the upstream.
  [[nodiscard]] Decision handle(affinity::Packet &Packet, Freshness Fresh,
                                TimePoint Now);
  /// Handles a SYN that was placed at PlacedAt and has not been answered within
  /// synRetryDelay(): it is sent to its upstream once more, and to another one
  /// if that is not answered either. Sets the tag of Packet accordingly.
  /// Returns no value if the flow was opened or moved meanwhile or if no
  /// upstream is available.
  [[nodiscard]] std::optional<Deliver> retry(affinity::Packet &Packet,
                                             TimePoint PlacedAt, TimePoint Now);
  /// Returns a waiting flow that is to be placed or refused now, which must be
  /// passed to release(). To be called until it returns no value, when a slot
  /// may have become free and a few times per maximum waiting time.
  [[nodiscard]] std::optional<ReleasedFlow> nextReleased(TimePoint Now) {
    return Placer_.nextReleased(Now);
  }
  /// Decides about the SYN of a flow that nextReleased() returned.
  [[nodiscard]] Decision release(affinity::Packet &Packet,
                                 const ReleasedFlow &Flow, Freshness Fresh,
                                 TimePoint Now);
  /// Returns the number of waiting flows.
  [[nodiscard]] std::size_t waiting() const noexcept {
    return Placer_.waiting();
  }
  /// Returns how long an upstream may take to answer a SYN before it is sent
  /// again.
  [[nodiscard]] Millis synRetryDelay() const noexcept;
  /// Returns what to report to peers and clears it.
  placement::UpstreamReports takeReports() {
    return {Stats_.FailureRates_.takeSuspects(), Stats_.Silence_.takeReports()};
  }
  /// Records that a peer saw a request fail. Returns true if this instance
  /// avoids the upstream from now on.
  bool recordPeerSuspect(const placement::Suspect &Reported, TimePoint Now);
  /// Records that a peer has seen an upstream leave a handshake unanswered.
  void recordPeerTimeout(affinity::Tag Upstream, Endpoint Peer, TimePoint Now);

  /// Records the load that a peer, given by its gossip endpoint, reports.
  void recordPeerLoad(Endpoint Peer,
                      std::vector<placement::UpstreamLoad> Report,
                      TimePoint Now) {
    Stats_.LoadReports_.record(Peer, std::move(Report), Now);
  }
  /// Samples the own load and returns what to report to peers about it. Must be
  /// called ten times a second.
  std::vector<placement::UpstreamLoad> sampleLoad(TimePoint Now);
  /// Returns the age of the oldest report of a peer's load that still counts.
  [[nodiscard]] std::optional<Millis> peerLoadAge(TimePoint Now) const {
    return Stats_.LoadReports_.age(Now);
  }
  /// Assigns the upstreams that accept new flows to this instance and Others.
  void updateOwners(std::vector<placement::OwnerMap::Location> Upstreams,
                    std::vector<placement::FleetMember> Others) {
    Stats_.Owners_.update(std::move(Upstreams), std::move(Others));
  }
  /// Returns the number of upstreams whose first owner is this instance.
  [[nodiscard]] std::size_t ownedUpstreams() const noexcept {
    return Stats_.Owners_.ownedCount();
  }
  /// Records what the limit of new flows at cold upstreams depends on; see
  /// WarmUpLimiter::update().
  void updateWarmUp(const std::vector<placement::OwnerMap::Location> &Upstreams,
                    const std::vector<placement::FleetMember> &Others,
                    TimePoint Now) {
    Stats_.WarmUp_.update(Upstreams, Others, Now);
  }
  void setWarmUpRates(const routing::WarmUpRates &PerSecond) {
    Stats_.WarmUp_.setRates(PerSecond);
  }

  struct Expired {
    /// Flows whose clients sent nothing for too long.
    std::vector<placement::FlowTracker::Entry> Silent_;
    /// Requests that exceeded the latency objective without an answer.
    std::vector<FailedRequest> Overdue_;
  };

  /// Drops expired state and returns the flows and requests that timed out.
  /// Must be called a few times a second.
  Expired expire(TimePoint Now);

  [[nodiscard]] const placement::FlowTracker &flows() const noexcept {
    return Stats_.Flows_;
  }

private:
  /// Handles a first or a repeated SYN.
  Decision handleSyn(affinity::Packet &Packet, Freshness Fresh, TimePoint Now);
  /// Handles a packet other than a SYN. It is never answered with a reset: what
  /// an instance sees of an upstream, unanswered handshakes and requests, does
  /// not tell one that has failed from one that is full or slow and serves the
  /// flow.
  Decision handleEstablished(affinity::Packet &Packet, TimePoint Now);
  /// Opens the flow on the client's first packet after the handshake.
  void completeHandshake(placement::TrackedFlow &Flow,
                         const affinity::Packet &Packet, TimePoint Now,
                         Deliver &Delivery);
  /// Updates the tracked flows for a packet. Flow is null when the packet's
  /// flow is not tracked.
  void updateFlow(placement::TrackedFlow *Flow, const affinity::Packet &Packet,
                  TimePoint Now, Deliver &Delivery);
  discovery::Catalog &Catalog_;
  const routing::Router &Routes_;
  placement::UpstreamStats Stats_;
  RequestMonitor Requests_;
  Placer Placer_;
  /// Moving average of the time from a SYN to the client's next packet, in
  /// milliseconds.
  double MeanHandshakeMs_;
};

} // namespace medlarmoor::edge

#endif // MEDLARMOOR_EDGE_FORWARDER_HPP
