#include <medlarmoor/edge/placer.hpp>

#include <medlarmoor/core/overloaded.hpp>

#include <utility>

namespace medlarmoor::edge {

using discovery::CatalogEntry;
using placement::TrackedFlow;

namespace {

/// The clients' protocol abandons a handshake after this time.
constexpr Millis HandshakeLifetime{1400};

/// Returns why no upstream of a saturated service takes a flow.
RejectReason reasonOf(const placement::Selection &Selected) noexcept {
  return Selected.Upstream_ ? RejectReason::Overloaded
                            : RejectReason::WarmingUp;
}

} // namespace

Placer::Placer(const discovery::Catalog &Catalog,
               placement::UpstreamStats &Stats, const RequestMonitor &Requests,
               placement::Selector Selector,
               std::optional<admission::AdmissionLimits> Limits)
    : Catalog_(Catalog), Stats_(Stats), Requests_(Requests),
      Selector_(std::move(Selector)) {
  if (Limits)
    Admission_.emplace(*Limits);
}

void Placer::place(affinity::Packet &Packet, const routing::Route &Route,
                   TrackedFlow *Flow, const CatalogEntry *Previous,
                   TimePoint Now, Deliver &Delivery) {
  if (Flow) {
    Stats_.Silence_.recordTimeout(Flow->Upstream_, Now);
    Delivery.Previous_ = Flow->Upstream_;
    Delivery.EjectedFor_ =
        Stats_.Ejector_.handshakeTimedOut(Flow->Upstream_, Now);
  }
  const ServiceName &Service = Route.serviceFor(Packet.Flow_.hash());
  commit(Packet, Flow, Service, select(Service, Previous, Now), Now, Delivery);
}

placement::Selection Placer::select(const ServiceName &Service,
                                    const CatalogEntry *Avoided,
                                    TimePoint Now) {
  return Selector_.choose(Catalog_.candidates(Service), Stats_, Avoided, Now);
}

bool Placer::repeat(affinity::Packet &Packet, const CatalogEntry &Upstream,
                    TimePoint Now, Deliver &Delivery) {
  if (Stats_.WarmUp_.limited(Upstream, Now))
    return false;
  Delivery.WarmUp_ = Stats_.WarmUp_.applies(Upstream, Now);
  Stats_.WarmUp_.spend(Upstream, Now);
  Packet.Tag_ = Upstream.Tag_;
  Delivery.Upstream_ = &Upstream;
  Delivery.Reason_ = DeliverReason::Repeated;
  return true;
}

void Placer::commit(affinity::Packet &Packet, TrackedFlow *Flow,
                    const ServiceName &Service,
                    const placement::Selection &Selection, TimePoint Now,
                    Deliver &Delivery) {
  const CatalogEntry *Selected = Selection.Upstream_;
  if (!Selected)
    return;
  Delivery.WarmUp_ = Stats_.WarmUp_.applies(*Selected, Now);
  Stats_.WarmUp_.spend(*Selected, Now);
  Packet.Tag_ = Selected->Tag_;
  Delivery.Upstream_ = Selected;
  Delivery.Reason_ = Flow ? DeliverReason::Moved : DeliverReason::Placed;
  Delivery.Candidates_ =
      static_cast<std::uint32_t>(Catalog_.candidates(Service).size());
  Delivery.Active_ = Stats_.Flows_.active(Selected->Tag_);
  if (Flow)
    Stats_.Flows_.move(*Flow, Selected->Tag_, Now);
  else
    Stats_.Flows_.add(Packet.Flow_, Selected->Tag_, HandshakeLifetime, Now);
}

admission::Demand Placer::demandOf(const affinity::FlowKey &Key,
                                   const routing::Route &Route,
                                   TimePoint Now) const noexcept {
  return {Key, Route.Priority_, Now, Requests_.latencyObjective(Key.Virtual_),
          Requests_.workEstimate(Key.Virtual_)};
}

std::optional<Decision> Placer::admit(affinity::Packet &Packet,
                                      const routing::Route &Route,
                                      TimePoint Now, Deliver &Delivery) {
  const ServiceName &Service = Route.serviceFor(Packet.Flow_.hash());
  const placement::Selection Selected = select(Service, nullptr, Now);
  if (!Selected.Upstream_ && !Selected.Saturated_)
    return std::nullopt;
  const admission::Demand Asked = demandOf(Packet.Flow_, Route, Now);
  const auto State = [&](const auto &Verdict) {
    return QueueState{Asked.Priority_, Verdict.Ahead_, Verdict.Predicted_,
                      Asked.Objective_, Millis(0)};
  };
  const std::uint32_t Slots =
      Selected.Saturated_ ? Stats_.ownedSlots(Catalog_.candidates(Service)) : 0;
  return std::visit(
      Overloaded{[&](const admission::Admit &) {
                   commit(Packet, nullptr, Service, Selected, Now, Delivery);
                   return std::optional<Decision>();
                 },
                 [&](const admission::Wait &Verdict) {
                   return std::optional<Decision>(Enqueue{State(Verdict)});
                 },
                 [&](const admission::Refuse &Verdict) {
                   return std::optional<Decision>(
                       Reject{reasonOf(Selected), State(Verdict)});
                 }},
      Admission_->decide(Service, Asked, Selected.Saturated_, Slots, Now));
}

std::optional<ReleasedFlow> Placer::nextReleased(TimePoint Now) {
  if (!Admission_ || Admission_->size() == 0)
    return std::nullopt;
  for (const ServiceName &Service : Admission_->waitingServices()) {
    const placement::Selection Selected = select(Service, nullptr, Now);
    if (!Selected.Saturated_)
      return ReleasedFlow{*Admission_->next(Service, Now), false, Selected};
    if (const auto Overdue = Admission_->nextOverdue(Service, Now))
      return ReleasedFlow{*Overdue, true, Selected};
  }
  return std::nullopt;
}

std::optional<Decision> Placer::release(affinity::Packet &Packet,
                                        const routing::Route &Route,
                                        const ReleasedFlow &Flow,
                                        TimePoint Now) {
  const admission::Demand &Asked = Flow.Demand_;
  const ServiceName &Service = Route.serviceFor(Packet.Flow_.hash());
  const placement::Selection &Selected = Flow.Selection_;
  const CatalogEntry *Upstream = Selected.Upstream_;
  QueueState State{Asked.Priority_, 0, Millis(0), Asked.Objective_};
  State.Waited_ = std::chrono::duration_cast<Millis>(Now - Asked.ArrivedAt_);
  if (Flow.Overdue_ && Selected.Saturated_ &&
      !(Upstream &&
        Admission_->canMeetObjective(Asked, Stats_.load(Upstream->Tag_, Now),
                                     Upstream->Upstream_.Slots_, Now)))
    return Reject{reasonOf(Selected), State};
  Deliver Delivery;
  commit(Packet, nullptr, Service, Selected, Now, Delivery);
  if (!Delivery.Upstream_)
    return std::nullopt;
  Delivery.Queue_ = State;
  return Delivery;
}

} // namespace medlarmoor::edge
