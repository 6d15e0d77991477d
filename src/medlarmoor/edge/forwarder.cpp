#include <medlarmoor/edge/forwarder.hpp>

#include <algorithm>
#include <utility>

namespace medlarmoor::edge {

using discovery::CatalogEntry;
using placement::Outcome;
using placement::TrackedFlow;

namespace {

/// A client gives up a handshake after this long (the clients' protocol).
constexpr Millis HandshakeLifetime{1400};
/// An upstream that has not answered a SYN for this long will not. Clients
/// repeat their SYN 200 ms after the first one.
constexpr Millis HandshakeTimeout{150};
/// Handshakes take two network round trips, until the first are measured.
constexpr double ExpectedHandshakeMs = 5.0;
constexpr double HandshakeWeight = 0.05;
/// An upstream may take this many times as long as handshakes usually take.
constexpr double PatienceFactor = 8.0;
constexpr Millis LeastPatience{30};
constexpr Millis MostPatience{120};
/// Load of a flow whose route is not known.
constexpr Millis DefaultRequestTimeout{3000};

} // namespace

Forwarder::Forwarder(discovery::Catalog &Catalog, const routing::Router &Routes,
                     placement::Selector Choice,
                     placement::EjectionLimits Ejections)
    : Catalog_(Catalog), Routes_(Routes), Choice_(std::move(Choice)),
      Stats_(Ejections), MeanHandshakeMs_(ExpectedHandshakeMs) {}

Decision Forwarder::handle(affinity::Packet &In, Knowledge Known,
                           TimePoint Now) {
  if (!Routes_.ready() || !Catalog_.ready())
    return Drop{DropReason::NotReady};
  return In.Syn_ ? open(In, Known, Now) : follow(In, Now);
}

Forwarder::Expired Forwarder::expire(TimePoint Now) {
  placement::FlowTracker::Expired Flows = Stats_.Flows_.expire(Now);
  Expired Out;
  for (const auto &[Key, Flow] : Flows.Overdue_) {
    Stats_.Failures_.overdue(Flow.Upstream_, Now);
    Out.Overdue_.push_back(failure(Key, Flow, Outcome::Overdue, Now));
  }
  for (const auto &[Key, Flow] : Flows.Silent_)
    if (Flow.Open_)
      end(Key, Flow, Now);
  Out.Silent_ = std::move(Flows.Silent_);
  Stats_.Failures_.expire(Now);
  Stats_.Outliers_.expire(Now);
  Stats_.Times_.expire(Now);
  Catalog_.expire(Now);
  return Out;
}

Decision Forwarder::open(affinity::Packet &In, Knowledge Known, TimePoint Now) {
  TrackedFlow *Flow = Stats_.Flows_.find(In.Flow_);
  const CatalogEntry *Previous =
      Flow ? Catalog_.find(Flow->Upstream_) : nullptr;
  Deliver Out;
  if (Previous && (Flow->Open_ || Now - Flow->PlacedAt_ < HandshakeTimeout)) {
    In.Tag_ = Flow->Upstream_;
    Out.Upstream_ = Previous;
    Out.Reason_ = DeliverReason::Repeated;
    return Out;
  }
  const routing::Route *Route = Routes_.find(In.Flow_.Virtual_);
  if (Route) {
    place(In, *Route, Flow, Previous, Now, Out);
    if (Out.Upstream_)
      return Out;
  }
  if (Previous)
    return Drop{DropReason::HandshakePending};
  if (!(Route ? Known.UpstreamsCurrent_ : Known.RoutesCurrent_))
    return Drop{DropReason::Outdated};
  return Reject{Route ? RejectReason::NoUpstream : RejectReason::NoRoute};
}

std::optional<Deliver> Forwarder::retry(affinity::Packet &In,
                                        TimePoint PlacedAt, TimePoint Now) {
  TrackedFlow *Flow = Stats_.Flows_.find(In.Flow_);
  const routing::Route *Route = Routes_.find(In.Flow_.Virtual_);
  if (!Flow || Flow->Open_ || Flow->PlacedAt_ != PlacedAt || !Route)
    return std::nullopt;
  Deliver Out;
  place(In, *Route, Flow, Catalog_.find(Flow->Upstream_), Now, Out);
  if (!Out.Upstream_)
    return std::nullopt;
  return Out;
}

bool Forwarder::suspect(const placement::Suspect &Each, TimePoint Now) {
  return Catalog_.find(Each.Upstream_) && Stats_.Failures_.reported(Each, Now);
}

Millis Forwarder::handshakePatience() const noexcept {
  const Millis Usual(
      static_cast<std::int64_t>(MeanHandshakeMs_ * PatienceFactor));
  return std::clamp(Usual, LeastPatience, MostPatience);
}

void Forwarder::place(affinity::Packet &In, const routing::Route &Route,
                      TrackedFlow *Flow, const CatalogEntry *Previous,
                      TimePoint Now, Deliver &Out) {
  if (Flow) {
    Out.Previous_ = Flow->Upstream_;
    Out.Ejected_ = Stats_.Outliers_.handshakeTimedOut(Flow->Upstream_, Now);
  }
  const auto &Candidates =
      Catalog_.candidates(Route.serviceFor(In.Flow_.hash()));
  const CatalogEntry *Chosen =
      Choice_.choose(Candidates, Stats_, Previous, Now);
  if (!Chosen)
    return;
  In.Tag_ = Chosen->Tag_;
  Out.Upstream_ = Chosen;
  Out.Reason_ = Flow ? DeliverReason::Moved : DeliverReason::Placed;
  Out.Candidates_ = static_cast<std::uint32_t>(Candidates.size());
  Out.Active_ = Stats_.Flows_.active(Chosen->Tag_);
  if (Flow)
    Stats_.Flows_.move(*Flow, Chosen->Tag_, Now);
  else
    Stats_.Flows_.add(In.Flow_, Chosen->Tag_, HandshakeLifetime, Now);
}

Decision Forwarder::follow(affinity::Packet &In, TimePoint Now) {
  Deliver Out;
  TrackedFlow *Flow = Stats_.Flows_.find(In.Flow_);
  if (Flow && !Flow->Open_ && In.Tag_ != affinity::NoTag)
    settle(*Flow, In, Now, Out);
  // A flow that was offered to two upstreams stays with the first that the
  // client answered, whatever tag came later.
  Out.Upstream_ =
      Catalog_.find(Flow && Flow->Open_ ? Flow->Upstream_ : In.Tag_);
  if (!Out.Upstream_)
    return Drop{DropReason::UnknownTag};
  count(Flow, In, Now, Out);
  // Both ends repeat what they receive, so that the right tag wins.
  In.Tag_ = Out.Upstream_->Tag_;
  return Out;
}

void Forwarder::settle(TrackedFlow &Flow, const affinity::Packet &In,
                       TimePoint Now, Deliver &Out) {
  if (Flow.Upstream_ != In.Tag_)
    Stats_.Flows_.move(Flow, In.Tag_, Now);
  else
    MeanHandshakeMs_ +=
        HandshakeWeight *
        (std::chrono::duration<double, std::milli>(Now - Flow.PlacedAt_)
             .count() -
         MeanHandshakeMs_);
  Flow.Open_ = true;
  Flow.OpenedAt_ = Now;
  Flow.Timeout_ = requestTimeout(In.Flow_.Virtual_);
  Flow.RequestAck_ = Flow.LastAck_ = In.Acknowledged_;
  Out.Reason_ = DeliverReason::Opened;
  Out.Elapsed_ = Now - Flow.FirstSeen_;
  Out.Restored_ = Stats_.Outliers_.handshakeCompleted(In.Tag_);
}

void Forwarder::count(TrackedFlow *Flow, const affinity::Packet &In,
                      TimePoint Now, Deliver &Out) {
  const bool Last = In.Fin_ || In.Rst_;
  if (Flow && Flow->Open_)
    observe(*Flow, In, Now, Out);
  if (Flow && Last) {
    if (Flow->Open_) {
      end(In.Flow_, *Flow, Now);
      Out.Reason_ = DeliverReason::Ended;
      Out.Elapsed_ = Now - Flow->OpenedAt_;
    }
    Stats_.Flows_.erase(In.Flow_);
  } else if (Flow) {
    Stats_.Flows_.touch(*Flow, Now);
  } else if (In.Length_ > 0 && !Last) {
    // Another instance placed it, or it was silent for long.
    TrackedFlow &Joined = Stats_.Flows_.add(
        In.Flow_, In.Tag_, requestTimeout(In.Flow_.Virtual_), Now);
    Joined.Open_ = true;
    Joined.OpenedAt_ = Now;
    Joined.RequestAck_ = Joined.LastAck_ = In.Acknowledged_;
    observe(Joined, In, Now, Out);
  }
}

void Forwarder::observe(TrackedFlow &Flow, const affinity::Packet &In,
                        TimePoint Now, Deliver &Out) {
  // The acknowledgement of a reset may be any value.
  if (!In.Rst_)
    Flow.acknowledge(In.Acknowledged_);
  if (In.Fin_ || In.Rst_)
    return judge(Flow, In.Flow_, Now, Out);
  // Data behind an answer begins the next request.
  if (In.Length_ == 0 || (Flow.Requested_ && Flow.received() == 0))
    return;
  judge(Flow, In.Flow_, Now, Out);
  Flow.Requested_ = true;
  Flow.Overdue_ = false;
  Flow.RequestedAt_ = Now;
  Flow.DueAt_ = Now + latencyObjective(In.Flow_.Virtual_);
  Flow.RequestAck_ = Flow.LastAck_;
}

void Forwarder::judge(TrackedFlow &Flow, const affinity::FlowKey &Key,
                      TimePoint Now, Deliver &Out) {
  if (!Flow.Requested_)
    return;
  const Outcome Result = Stats_.Failures_.ended(Key.Virtual_, Flow.Upstream_,
                                                Flow.received(), Now);
  if (Result != Outcome::Answered)
    Out.Failed_ = failure(Key, Flow, Result, Now);
}

FailedRequest Forwarder::failure(const affinity::FlowKey &Key,
                                 const TrackedFlow &Flow, Outcome Result,
                                 TimePoint Now) const noexcept {
  return {Key,
          Flow.Upstream_,
          Result,
          Flow.received(),
          Now - Flow.RequestedAt_,
          Stats_.Failures_.excess(Flow.Upstream_, Now)};
}

void Forwarder::end(const affinity::FlowKey &Key, const TrackedFlow &Flow,
                    TimePoint Now) {
  Stats_.Times_.ended(Key.Virtual_, Flow.Upstream_, Now - Flow.OpenedAt_, Now);
}

Millis Forwarder::requestTimeout(Endpoint Virtual) const noexcept {
  const routing::Route *Route = Routes_.find(Virtual);
  return Route && Route->Timeout_ > Millis(0) ? Route->Timeout_
                                              : DefaultRequestTimeout;
}

Millis Forwarder::latencyObjective(Endpoint Virtual) const noexcept {
  const routing::Route *Route = Routes_.find(Virtual);
  return Route && Route->LatencyObjective_ > Millis(0)
             ? Route->LatencyObjective_
             : requestTimeout(Virtual);
}

} // namespace medlarmoor::edge
