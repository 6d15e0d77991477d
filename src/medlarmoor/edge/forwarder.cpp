#include <medlarmoor/edge/forwarder.hpp>

#include <algorithm>
#include <utility>

namespace medlarmoor::edge {

using discovery::CatalogEntry;
using placement::TrackedFlow;

namespace {

/// An upstream that has not answered a SYN within this time is not expected to
/// answer any more. Clients retransmit their SYN 200 ms after the first one.
constexpr Millis HandshakeTimeout{150};
/// A SYN that waited this long in this instance is not used any more: its
/// client retransmits it after 200 ms.
constexpr Millis MaxSynAge{190};
/// Mean handshake time, two network round trips, that is assumed until
/// handshakes have been measured.
constexpr double ExpectedHandshakeMs = 5.0;
/// Weight of a new sample in the moving average of the handshake time.
constexpr double HandshakeSmoothing = 0.05;
/// A SYN is sent to another upstream after this many times the mean handshake
/// time, clamped to the bounds below.
constexpr double SynRetryDelayFactor = 8.0;
constexpr Millis MinSynRetryDelay{30};
constexpr Millis MaxSynRetryDelay{120};

} // namespace

Forwarder::Forwarder(discovery::Catalog &Catalog, const routing::Router &Routes,
                     placement::Selector Selector,
                     placement::EjectionLimits Ejections,
                     ForwarderOptions Options)
    : Catalog_(Catalog), Routes_(Routes),
      Stats_(Ejections, std::move(Options.Self_), Options.WarmUp_,
             Options.Seeds_),
      Requests_(Routes, Stats_),
      Placer_(Catalog, Stats_, Requests_, std::move(Selector),
              Options.Admission_),
      MeanHandshakeMs_(ExpectedHandshakeMs) {}

Decision Forwarder::handle(affinity::Packet &Packet, Freshness Fresh,
                           TimePoint Now) {
  if (!ready())
    return Hold{};
  return Packet.Syn_ ? handleSyn(Packet, Fresh, Now)
                     : handleEstablished(Packet, Now);
}

Forwarder::Expired Forwarder::expire(TimePoint Now) {
  placement::FlowTracker::Timeouts Flows = Stats_.Flows_.expire(Now);
  Expired Result;
  for (const auto &[Key, Flow] : Flows.Overdue_)
    Result.Overdue_.push_back(Requests_.recordOverdue(Key, Flow, Now));
  for (const auto &[Key, Flow] : Flows.Silent_)
    Requests_.recordSilent(Key, Flow, Now);
  Result.Silent_ = std::move(Flows.Silent_);
  Stats_.FailureRates_.expire(Now);
  Stats_.Ejector_.expire(Now);
  Stats_.Silence_.expire(Now);
  Stats_.ServiceTimes_.expire(Now);
  Requests_.expire();
  Catalog_.expire(Now);
  return Result;
}

Decision Forwarder::handleSyn(affinity::Packet &Packet, Freshness Fresh,
                              TimePoint Now) {
  TrackedFlow *Flow = Stats_.Flows_.find(Packet.Flow_);
  const CatalogEntry *Previous =
      Flow ? Catalog_.find(Flow->Upstream_) : nullptr;
  Deliver Delivery;
  if (Previous && (Flow->Open_ || Now - Flow->PlacedAt_ < HandshakeTimeout)) {
    if (!Placer_.repeat(Packet, *Previous, Now, Delivery))
      return Drop{DropReason::HandshakePending};
    return Delivery;
  }
  if (Fresh.Backlogged_)
    return Drop{DropReason::Stale};
  // An upstream may have left or been evacuated during the pause.
  if (Fresh.Resuming_ && !Fresh.candidatesCurrent())
    return Hold{};
  if (Placer_.waiting(Packet.Flow_))
    return Drop{DropReason::Waiting};
  const routing::Route *Route = Routes_.find(Packet.Flow_.Virtual_);
  if (Route) {
    // Another copy of a repeated SYN, or of one that has waited here already,
    // may have been placed elsewhere: it is neither delayed nor refused.
    if (Placer_.admits() && !Flow && Packet.Acknowledged_ == 0 &&
        !Fresh.Delayed_ && Fresh.candidatesCurrent()) {
      if (const auto Withheld = Placer_.admit(Packet, *Route, Now, Delivery))
        return *Withheld;
    } else {
      Placer_.place(Packet, *Route, Flow, Previous, Now, Delivery);
    }
    if (Delivery.Upstream_)
      return Delivery;
  }
  if (Previous)
    return Drop{DropReason::HandshakePending};
  if (!(Route ? Fresh.candidatesCurrent() : Fresh.RoutesCurrent_))
    return Drop{DropReason::Outdated};
  if (!Route)
    return Reject{RejectReason::NoRoute};
  const ServiceName &Service = Route->serviceFor(Packet.Flow_.hash());
  if (!Catalog_.candidates(Service).empty())
    return Reject{RejectReason::WarmingUp};
  return Reject{Catalog_.evacuated(Service) ? RejectReason::Evacuated
                                            : RejectReason::NoUpstream};
}

std::optional<Deliver> Forwarder::retry(affinity::Packet &Packet,
                                        TimePoint PlacedAt, TimePoint Now) {
  TrackedFlow *Flow = Stats_.Flows_.find(Packet.Flow_);
  const routing::Route *Route = Routes_.find(Packet.Flow_.Virtual_);
  if (!Flow || Flow->Open_ || Flow->PlacedAt_ != PlacedAt || !Route)
    return std::nullopt;
  Deliver Delivery;
  const CatalogEntry *Previous = Catalog_.find(Flow->Upstream_);
  // If only a packet was lost, another upstream would hold the flow as well.
  if (!Flow->SynResent_ && Previous &&
      Previous->State_ != CatalogEntry::State::Retired &&
      !Catalog_.evacuated(*Previous)) {
    Flow->SynResent_ = true;
    if (!Placer_.repeat(Packet, *Previous, Now, Delivery))
      return std::nullopt;
    return Delivery;
  }
  Placer_.place(Packet, *Route, Flow, Previous, Now, Delivery);
  if (!Delivery.Upstream_)
    return std::nullopt;
  return Delivery;
}

bool Forwarder::recordPeerSuspect(const placement::Suspect &Reported,
                                  TimePoint Now) {
  return Catalog_.find(Reported.Upstream_) &&
         Stats_.FailureRates_.recordReport(Reported, Now);
}

void Forwarder::recordPeerTimeout(affinity::Tag Upstream, Endpoint Peer,
                                  TimePoint Now) {
  if (Catalog_.find(Upstream))
    Stats_.Silence_.recordReport(Upstream, Peer, Now);
}

std::vector<placement::UpstreamLoad> Forwarder::sampleLoad(TimePoint Now) {
  Stats_.LoadReports_.expire(Now);
  Stats_.LoadAverages_.sample(Stats_.Flows_.activeCounts(), Now);
  return Stats_.LoadAverages_.report();
}

Millis Forwarder::synRetryDelay() const noexcept {
  const Millis Delay(
      static_cast<std::int64_t>(MeanHandshakeMs_ * SynRetryDelayFactor));
  return std::clamp(Delay, MinSynRetryDelay, MaxSynRetryDelay);
}

Decision Forwarder::release(affinity::Packet &Packet, const ReleasedFlow &Flow,
                            Freshness Fresh, TimePoint Now) {
  // The client has repeated its SYN, and another instance may have placed the
  // copy.
  if (Now - Flow.Demand_.ArrivedAt_ >= MaxSynAge ||
      Stats_.Flows_.find(Packet.Flow_))
    return Drop{DropReason::Stale};
  Fresh.Delayed_ = true;
  if (const routing::Route *Route = Routes_.find(Packet.Flow_.Virtual_))
    if (const auto Released = Placer_.release(Packet, *Route, Flow, Now))
      return *Released;
  return handleSyn(Packet, Fresh, Now);
}

Decision Forwarder::handleEstablished(affinity::Packet &Packet, TimePoint Now) {
  Deliver Delivery;
  TrackedFlow *Flow = Stats_.Flows_.find(Packet.Flow_);
  if (Flow && !Flow->Open_ && Packet.Tag_ != affinity::NoTag)
    completeHandshake(*Flow, Packet, Now, Delivery);
  // A flow whose SYN was sent to two upstreams stays with the one whose answer
  // the client accepted first, even if a later packet carries the other tag.
  Delivery.Upstream_ =
      Catalog_.find(Flow && Flow->Open_ ? Flow->Upstream_ : Packet.Tag_);
  if (!Delivery.Upstream_)
    return Drop{DropReason::UnknownTag};
  updateFlow(Flow, Packet, Now, Delivery);
  // Both ends echo the tag they last received, so both converge on this one.
  Packet.Tag_ = Delivery.Upstream_->Tag_;
  return Delivery;
}

void Forwarder::completeHandshake(TrackedFlow &Flow,
                                  const affinity::Packet &Packet, TimePoint Now,
                                  Deliver &Delivery) {
  if (Flow.Upstream_ != Packet.Tag_)
    Stats_.Flows_.move(Flow, Packet.Tag_, Now);
  else if (!Flow.SynResent_) // Otherwise the answer may be to either SYN.
    MeanHandshakeMs_ +=
        HandshakeSmoothing *
        (std::chrono::duration<double, std::milli>(Now - Flow.PlacedAt_)
             .count() -
         MeanHandshakeMs_);
  Stats_.Flows_.open(Packet.Flow_, Flow,
                     Requests_.requestTimeout(Packet.Flow_.Virtual_),
                     Routes_.table().IdleTimeout_, Now);
  Flow.RequestAck_ = Flow.LastAck_ = Packet.Acknowledged_;
  Delivery.Reason_ = DeliverReason::Opened;
  Delivery.Elapsed_ = Now - Flow.FirstSeen_;
  Delivery.Restored_ = Stats_.Ejector_.handshakeCompleted(Packet.Tag_);
  Stats_.Silence_.recordResponse(Packet.Tag_, Now);
}

void Forwarder::updateFlow(TrackedFlow *Flow, const affinity::Packet &Packet,
                           TimePoint Now, Deliver &Delivery) {
  const bool EndsFlow = Packet.Fin_ || Packet.Rst_;
  if (Flow && Flow->Open_)
    Delivery.Failed_ = Requests_.observe(*Flow, Packet, Now);
  if (Flow && EndsFlow) {
    if (Flow->Open_) {
      Delivery.Reason_ = DeliverReason::Ended;
      Delivery.Elapsed_ = Now - Flow->OpenedAt_;
    }
    Stats_.Flows_.erase(Packet.Flow_);
  } else if (Flow) {
    Stats_.Flows_.touch(*Flow, Now);
  } else if (Packet.PayloadBytes_ > 0 && !EndsFlow) {
    // Another instance placed the flow, or it expired here while it was idle.
    const Millis Timeout = Requests_.requestTimeout(Packet.Flow_.Virtual_);
    TrackedFlow &Adopted =
        Stats_.Flows_.add(Packet.Flow_, Packet.Tag_, Timeout, Now);
    Stats_.Flows_.open(Packet.Flow_, Adopted, Timeout,
                       Routes_.table().IdleTimeout_, Now);
    Adopted.RequestAck_ = Adopted.LastAck_ = Packet.Acknowledged_;
    Delivery.Failed_ = Requests_.observe(Adopted, Packet, Now);
  }
}

} // namespace medlarmoor::edge
