#ifndef MEDLARMOOR_EDGE_FORWARDER_HPP
#define MEDLARMOOR_EDGE_FORWARDER_HPP

#include <medlarmoor/affinity/packet.hpp>
#include <medlarmoor/discovery/catalog.hpp>
#include <medlarmoor/edge/decision.hpp>
#include <medlarmoor/edge/knowledge.hpp>
#include <medlarmoor/placement/selector.hpp>
#include <medlarmoor/placement/upstream_stats.hpp>
#include <medlarmoor/routing/router.hpp>

#include <optional>
#include <vector>

namespace medlarmoor::edge {

/// Decides what becomes of each packet of a client. Packets of established
/// flows follow their tag and need no state; SYNs are placed. A decision
/// object without I/O.
class Forwarder {
public:
  Forwarder(discovery::Catalog &Catalog, const routing::Router &Routes,
            placement::Selector Choice, placement::EjectionLimits Ejections);

  /// The decision for In. Its tag is set to that of the upstream where the
  /// packet has to carry another one.
  [[nodiscard]] Decision handle(affinity::Packet &In, Knowledge Known,
                                TimePoint Now);
  /// Whether the SYN In, which was placed at PlacedAt, goes to another upstream
  /// because the first has not answered for handshakePatience(). Its tag is set
  /// then.
  [[nodiscard]] std::optional<Deliver> retry(affinity::Packet &In,
                                             TimePoint PlacedAt, TimePoint Now);
  /// How long an upstream may take to answer a SYN.
  [[nodiscard]] Millis handshakePatience() const noexcept;
  /// What peers should know; see FailureRates::takeSuspects().
  std::vector<placement::Suspect> takeSuspects() {
    return Stats_.Failures_.takeSuspects();
  }
  /// A peer saw a request fail. Tells whether this instance avoids the upstream
  /// from now on.
  bool suspect(const placement::Suspect &Each, TimePoint Now);

  struct Expired {
    /// Flows whose clients fell silent.
    std::vector<placement::FlowTracker::Entry> Silent_;
    /// Requests whose answers became overdue.
    std::vector<FailedRequest> Overdue_;
  };

  /// Forgets what is over and gives what time has shown. Call it a few times a
  /// second.
  Expired expire(TimePoint Now);

  [[nodiscard]] const placement::FlowTracker &flows() const noexcept {
    return Stats_.Flows_;
  }

private:
  Decision open(affinity::Packet &In, Knowledge Known, TimePoint Now);
  /// Chooses an upstream, another one than Previous while there is a choice;
  /// null in Out when there is none. Flow is null on the first SYN; Previous
  /// is null then, too, and when the catalog forgot the upstream.
  void place(affinity::Packet &In, const routing::Route &Route,
             placement::TrackedFlow *Flow,
             const discovery::CatalogEntry *Previous, TimePoint Now,
             Deliver &Out);
  Decision follow(affinity::Packet &In, TimePoint Now);
  /// The first packet behind a handshake came.
  void settle(placement::TrackedFlow &Flow, const affinity::Packet &In,
              TimePoint Now, Deliver &Out);
  /// Keeps the count of flows at work. Flow is null when it is not tracked.
  void count(placement::TrackedFlow *Flow, const affinity::Packet &In,
             TimePoint Now, Deliver &Out);
  /// Follows the requests of an open flow.
  void observe(placement::TrackedFlow &Flow, const affinity::Packet &In,
               TimePoint Now, Deliver &Out);
  /// Judges the request of a flow whose client wants no more of the answer.
  void judge(placement::TrackedFlow &Flow, const affinity::FlowKey &Key,
             TimePoint Now, Deliver &Out);
  [[nodiscard]] FailedRequest failure(const affinity::FlowKey &Key,
                                      const placement::TrackedFlow &Flow,
                                      placement::Outcome Result,
                                      TimePoint Now) const noexcept;
  void end(const affinity::FlowKey &Key, const placement::TrackedFlow &Flow,
           TimePoint Now);
  [[nodiscard]] Millis requestTimeout(Endpoint Virtual) const noexcept;
  [[nodiscard]] Millis latencyObjective(Endpoint Virtual) const noexcept;

  discovery::Catalog &Catalog_;
  const routing::Router &Routes_;
  placement::Selector Choice_;
  placement::UpstreamStats Stats_;
  /// Mean time from a SYN to the client's next packet, in milliseconds.
  double MeanHandshakeMs_;
};

} // namespace medlarmoor::edge

#endif // MEDLARMOOR_EDGE_FORWARDER_HPP
