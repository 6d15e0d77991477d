#ifndef MEDLARMOOR_EDGE_PLACER_HPP
#define MEDLARMOOR_EDGE_PLACER_HPP

#include <medlarmoor/admission/admission_control.hpp>
#include <medlarmoor/affinity/packet.hpp>
#include <medlarmoor/discovery/catalog.hpp>
#include <medlarmoor/edge/decision.hpp>
#include <medlarmoor/edge/released_flow.hpp>
#include <medlarmoor/edge/request_monitor.hpp>
#include <medlarmoor/placement/selector.hpp>
#include <medlarmoor/placement/upstream_stats.hpp>
#include <medlarmoor/routing/route.hpp>

#include <optional>

namespace medlarmoor::edge {

/// Decides where and when new flows are placed: selects their upstreams, and
/// lets them wait or refuses them while no upstream has a free slot.
class Placer {
public:
  /// Without limits, flows never wait.
  Placer(const discovery::Catalog &Catalog, placement::UpstreamStats &Stats,
         const RequestMonitor &Requests, placement::Selector Selector,
         std::optional<admission::AdmissionLimits> Limits);

  /// Places the flow of a SYN, avoiding Previous while there are other
  /// upstreams; leaves Delivery.Upstream_ null if there is none. Flow is null
  /// on the first SYN; otherwise its upstream has not answered. Previous is
  /// null on the first SYN and when the catalog no longer has the upstream.
  void place(affinity::Packet &Packet, const routing::Route &Route,
             placement::TrackedFlow *Flow,
             const discovery::CatalogEntry *Previous, TimePoint Now,
             Deliver &Delivery);
  /// Sends a SYN to its upstream once more. Returns false if the upstream has
  /// used up its warm-up limit.
  bool repeat(affinity::Packet &Packet, const discovery::CatalogEntry &Upstream,
              TimePoint Now, Deliver &Delivery);
  /// Returns true if flows may wait.
  [[nodiscard]] bool admits() const noexcept { return bool(Admission_); }
  /// Handles a first SYN if flows may wait. Returns the decision if it has to
  /// wait or is refused; otherwise places it as place() does.
  std::optional<Decision> admit(affinity::Packet &Packet,
                                const routing::Route &Route, TimePoint Now,
                                Deliver &Delivery);
  /// Returns true if the flow waits.
  [[nodiscard]] bool waiting(const affinity::FlowKey &Flow) const noexcept {
    return Admission_ && Admission_->waiting(Flow);
  }
  /// Returns the number of waiting flows.
  [[nodiscard]] std::size_t waiting() const noexcept {
    return Admission_ ? Admission_->size() : 0;
  }
  /// Returns a waiting flow that is to be placed or refused now, which must be
  /// passed to release().
  [[nodiscard]] std::optional<ReleasedFlow> nextReleased(TimePoint Now);
  /// Decides about the SYN of a flow that nextReleased() returned. Returns no
  /// value if its service has no upstream any more.
  std::optional<Decision> release(affinity::Packet &Packet,
                                  const routing::Route &Route,
                                  const ReleasedFlow &Flow, TimePoint Now);

private:
  [[nodiscard]] placement::Selection
  select(const ServiceName &Service, const discovery::CatalogEntry *Avoided,
         TimePoint Now);
  /// Assigns a flow to the selected upstream, if there is one.
  void commit(affinity::Packet &Packet, placement::TrackedFlow *Flow,
              const ServiceName &Service, const placement::Selection &Selection,
              TimePoint Now, Deliver &Delivery);
  [[nodiscard]] admission::Demand demandOf(const affinity::FlowKey &Key,
                                           const routing::Route &Route,
                                           TimePoint Now) const noexcept;

  const discovery::Catalog &Catalog_;
  placement::UpstreamStats &Stats_;
  const RequestMonitor &Requests_;
  placement::Selector Selector_;
  /// Unset if flows never wait.
  std::optional<admission::AdmissionControl> Admission_;
};

} // namespace medlarmoor::edge

#endif // MEDLARMOOR_EDGE_PLACER_HPP
