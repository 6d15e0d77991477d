#include <medlarmoor/core/overloaded.hpp>
#include <medlarmoor/flow/director.hpp>
#include <medlarmoor/wire/message.hpp>

namespace medlarmoor::flow {

namespace {

using membership::Member;
using upstream::LifecycleEvent;
using upstream::LifecyclePhase;

/// A first packet that arrives again within this time of the flow's last packet
/// is a retransmission; later it opens a new flow on the same ports.
constexpr Stamp RetransmissionSeconds = 3;
/// Time after the start of a drain from which a retransmitted first packet
/// leaves the draining upstream.
constexpr Nanos DrainSettles = Seconds(1);
/// An upstream is silent if this many flows got no answer from it, and none has
/// been answered for SilentAfter.
constexpr std::uint32_t SilentFlows = 4;
constexpr Nanos SilentAfter = Seconds(2);
/// Established flows after which an upstream is warm.
constexpr std::uint32_t WarmSuccesses = 32;

/// Returns the longest pause after which this entry may still act as home.
/// Others may take over once they have missed its heartbeats for the lease. The
/// last heartbeat may be one period old when a pause begins, and the next one
/// is due one period after the pause.
Nanos longestPause(const config::MembershipSettings &Timing) {
  return std::max(Timing.Lease_ - 2 * Timing.HeartbeatPeriod_,
                  Timing.HeartbeatPeriod_);
}

} // namespace

Director::Director(const config::Settings &Settings, Clock Time,
                   Random Generator)
    : Clock_(std::move(Time)), Random_(Generator),
      Idle_(Settings.Flow_.IdleTimeout_),
      LongestPause_(longestPause(Settings.Membership_)),
      Tracker_(Settings.Domain_, Settings.Flow_.MaxFlows_),
      Homes_(Settings.Name_, Settings.Membership_.Lease_),
      Replicator_(Tracker_, Homes_, Random_,
                  Settings.Flow_.ReplicationBytesPerSecond_),
      Now_(Clock_.now()), Stamp_(toStamp(Now_)) {}

void Director::readClock() {
  const TimePoint Previous = Now_;
  Now_ = Clock_.now();
  Stamp_ = toStamp(Now_);
  if (Now_ - Previous <= LongestPause_ || Homes_.leaving())
    return;
  Homes_.suspend();
  clearState();
}

PreparedPacket Director::prepare(std::span<const std::byte> Inner) {
  PreparedPacket Result;
  Result.DropReason_ = parsePacket(Inner, Result.Packet_);
  if (Result.DropReason_)
    return Result;
  const Endpoint Destination = Result.Packet_.Destination_;
  const std::optional<ServiceIndex> Service =
      Tracker_.services().find(Destination);
  if (!Service) {
    Result.DropReason_ = Tracker_.services().empty()
                             ? DropReason::NoConfiguration
                             : DropReason::UnknownAddress;
    return Result;
  }
  Result.Id_ = {*Service, hashFlow(Result.Packet_.Source_, Destination)};
  Tracker_.table().prefetch(Result.Id_);
  return Result;
}

Decision Director::decide(const PreparedPacket &Input) {
  return decideFrom(Input, {});
}

Decision Director::decide(const PreparedPacket &Input, const PeerHeader &Header,
                          Ipv4 From) {
  Arrival Via{Header, nullptr};
  for (const Member &Listed : Homes_.view().members())
    if (Listed.Address_ == From)
      Via.Sender_ = &Listed;
  return decideFrom(Input, Via);
}

Decision Director::decideFrom(const PreparedPacket &Input, const Arrival &Via) {
  if (Input.DropReason_)
    return Drop{*Input.DropReason_};
  FlowRecord *Record = Tracker_.table().find(Input.Id_);
  const bool Own = Record != nullptr && !Record->has(FlowRecord::Replica);
  if (Own &&
      (!Input.Packet_.opensFlow() || ownsFirstPacket(Input.Id_, *Record)))
    return onRecord(*Record, Input.Packet_);
  return route(Input.Id_, Own ? nullptr : Record, Input.Packet_, Via);
}

/// Returns true if this entry decides about a first packet of the recorded
/// flow: it is the flow's home, or the packet retransmits one that it has just
/// forwarded.
bool Director::ownsFirstPacket(FlowId Id, const FlowRecord &Record) {
  const bool Recent =
      secondsBetween(Record.LastPacketAt_, Stamp_) <= RetransmissionSeconds &&
      !Record.has(FlowRecord::Closing);
  return Recent ||
         Homes_.isSelf(Homes_.home(Id, Tracker_.serviceOf(Id).seed()));
}

Decision Director::onRecord(FlowRecord &Record, const Packet &Received) {
  if (Received.opensFlow())
    return onRepeatedFirstPacket(Record, Received);
  if (Received.Rst_)
    return onReset(Record);
  if (!Record.has(FlowRecord::Established))
    onEstablished(Record);
  if (Record.LastPacketAt_ != Stamp_)
    Record.LastPacketAt_ = Stamp_;
  if (Received.Fin_)
    Tracker_.close(Record);
  return forwardToUpstream(Record);
}

Decision Director::onReset(FlowRecord &Record) {
  const Decision Result = forwardToUpstream(Record);
  if (Record.has(FlowRecord::Replicated))
    Replicator_.queueEnded(Record);
  Tracker_.erase(&Record);
  return Result;
}

Decision Director::onRepeatedFirstPacket(FlowRecord &Record,
                                         const Packet &Received) {
  const UpstreamState &Upstream = Tracker_.upstreamOf(Record);
  const bool Recent =
      secondsBetween(Record.LastPacketAt_, Stamp_) <= RetransmissionSeconds;
  const bool Established = Record.has(FlowRecord::Established);
  const bool Closed = Record.has(FlowRecord::Closing);
  const bool Drained = Upstream.Lifecycle_.phase() != LifecyclePhase::Silent &&
                       !Upstream.Lifecycle_.takesNewWork() &&
                       Now_ - Upstream.DrainedAt_ > DrainSettles;
  if (!Established)
    onStalled(Record);
  const bool Silent = Upstream.Lifecycle_.phase() == LifecyclePhase::Silent;
  const bool Stays = !Upstream.AddressReused_ && !Closed &&
                     (Established ? Recent || Upstream.Lifecycle_.takesNewWork()
                                  : !Drained && !Silent);
  if (Stays) {
    Record.LastPacketAt_ = Stamp_;
    return forwardToUpstream(Record);
  }
  const bool WasReplicated = Record.has(FlowRecord::Replicated);
  const FlowId Id = Record.id();
  Tracker_.erase(&Record);
  Decision Result = openFlow(Id, Received);
  FlowRecord *Fresh = Tracker_.table().find(Id);
  if (WasReplicated && Fresh != nullptr) {
    Fresh->set(FlowRecord::ReplacesReplica);
    Replicator_.queue(*Fresh);
  }
  return Result;
}

/// Finds the flow's home and forwards the packet there, or decides locally.
/// Called for packets that no record of an own flow decides. Replica is this
/// entry's replica of the flow, or null.
Decision Director::route(FlowId Id, FlowRecord *Replica, const Packet &Received,
                         const Arrival &Via) {
  const std::uint64_t Seed = Tracker_.serviceOf(Id).seed();
  const PeerIntent Intent = Via.Header_.Intent_;
  const bool HopsLeft = Via.Header_.Hops_ < MaxHops;
  const bool Active = Homes_.active(Now_);
  const bool AskedAsPrevious =
      Intent == PeerIntent::ToPrevious && Via.Sender_ != nullptr;
  const bool HandedOff =
      Intent == PeerIntent::HandedOff && Via.Sender_ != nullptr;
  if (Intent == PeerIntent::ToContender && Via.Sender_ != nullptr && HopsLeft) {
    const bool OwnsFlow =
        Active && Homes_.isSelf(Homes_.home(Id, Seed)) &&
        Homes_.previous(Id, Seed, Received.opensFlow()) == nullptr;
    return OwnsFlow ? decideLocally(Id, Replica, Received)
                    : forwardToEntry(*Via.Sender_, Via, PeerIntent::HandedOff);
  }
  // This entry has granted the flow to the sender, and the grant is still in
  // flight.
  if (AskedAsPrevious && Active && Replica == nullptr && HopsLeft &&
      !Homes_.awaitsGrants() && isHome(*Via.Sender_, Id))
    return forwardToEntry(*Via.Sender_, Via, PeerIntent::HandedOff);
  const Member *Home = AskedAsPrevious
                           ? Homes_.homeWithout(Id, Seed, Via.Sender_->Name_)
                           : Homes_.home(Id, Seed);
  // An entry that hands a flow off is not its home, whatever this entry's view
  // says. But if this entry is leaving, it is no home for the flow either.
  if (HandedOff && Home != nullptr && Home->Name_ == Via.Sender_->Name_ &&
      !Homes_.leaving())
    Home = Homes_.homeWithout(Id, Seed, Via.Sender_->Name_);
  if (Home == nullptr && AskedAsPrevious && HopsLeft)
    return forwardToEntry(*Via.Sender_, Via, PeerIntent::HandedOff);
  if (Home == nullptr || (!Active && Homes_.isSelf(Home)))
    return Drop{DropReason::NoHome};
  if (!Homes_.isSelf(Home)) {
    if (!HopsLeft)
      return Active && !Homes_.awaitsGrants()
                 ? decideLocally(Id, Replica, Received)
                 : Decision(Drop{DropReason::TooManyHops});
    const bool HandsOff = Active && Replica == nullptr &&
                          !Homes_.awaitsGrants() &&
                          Homes_.isHomeWithout(*Home, Id, Seed);
    return forwardToEntry(
        *Home, Via, HandsOff ? PeerIntent::HandedOff : PeerIntent::ToHome);
  }
  const EntryName Except = AskedAsPrevious ? Via.Sender_->Name_ : EntryName();
  const Member *Previous =
      Replica != nullptr || HandedOff
          ? nullptr
          : Homes_.previous(Id, Seed, Received.opensFlow(), Except);
  // Entries that join at the same time may forward a packet to each other in a
  // circle. It is dropped here; the caller retransmits it.
  if (Previous != nullptr && !HopsLeft)
    return Drop{DropReason::TooManyHops};
  if (Previous != nullptr)
    return forwardToEntry(*Previous, Via, PeerIntent::ToPrevious);
  const Member *Contender = Replica != nullptr || HandedOff || AskedAsPrevious
                                ? nullptr
                                : Homes_.contender(Id, Seed);
  if (Contender != nullptr && HopsLeft)
    return forwardToEntry(*Contender, Via, PeerIntent::ToContender);
  return decideLocally(Id, Replica, Received);
}

bool Director::isHome(const Member &Candidate, FlowId Id) {
  const Member *Home = Homes_.home(Id, Tracker_.serviceOf(Id).seed());
  return Home != nullptr && Home->Name_ == Candidate.Name_;
}

Decision Director::forwardToEntry(const Member &To, const Arrival &Via,
                                  PeerIntent Intent) const {
  const auto Hops = static_cast<std::uint8_t>(Via.Header_.Hops_ + 1);
  return ToEntry{To.Address_, {Hops, Intent}};
}

Decision Director::decideLocally(FlowId Id, FlowRecord *Replica,
                                 const Packet &Received) {
  if (Replica == nullptr)
    return Received.opensFlow() ? openFlow(Id, Received)
                                : continueFlow(Id, Received);
  if (Received.opensFlow() &&
      !Tracker_.upstreamOf(*Replica).Lifecycle_.takesNewWork()) {
    Tracker_.erase(Replica);
    return openFlow(Id, Received);
  }
  Tracker_.promote(*Replica);
  onDecided(*Replica);
  return onRecord(*Replica, Received);
}

Decision Director::openFlow(FlowId Id, const Packet &Received) {
  const std::variant<Choice, RefuseReason> Result =
      choose(Tracker_.serviceOf(Id), Id.Hash_, homeShare());
  if (const RefuseReason *Reason = std::get_if<RefuseReason>(&Result))
    return Refuse{*Reason, Received};
  const Choice &Chosen = *std::get_if<Choice>(&Result);
  FlowRecord *Record = Tracker_.open(Id, Chosen.Upstream_, Chosen.Rule_);
  if (Record == nullptr)
    return Refuse{RefuseReason::TableFull, Received};
  onDecided(*Record);
  return forwardToUpstream(*Record);
}

Decision Director::continueFlow(FlowId Id, const Packet &Received) {
  ServiceState &Service = Tracker_.serviceOf(Id);
  const std::optional<UpstreamIndex> Upstream =
      Service.establishedDefaultOf(Id.Hash_);
  if (!Upstream)
    return Drop{DropReason::NoUpstream};
  if (!Received.Rst_ && !Received.Fin_) {
    FlowRecord *Record = Tracker_.open(Id, *Upstream, Rule::EstablishedDefault);
    if (Record != nullptr) {
      Record->set(FlowRecord::Established);
      onDecided(*Record);
    }
  }
  return ToUpstream{Service.upstreams()[*Upstream].Config_.Packets_};
}

Decision Director::forwardToUpstream(const FlowRecord &Record) {
  const UpstreamState &Upstream = Tracker_.upstreamOf(Record);
  if (Upstream.AddressReused_)
    return Drop{DropReason::UpstreamGone};
  return ToUpstream{Upstream.Config_.Packets_};
}

/// Records when and under which view this entry decided about the flow, and
/// notifies the entry that must know of it.
void Director::onDecided(FlowRecord &Record) {
  Record.LastPacketAt_ = Stamp_;
  Record.View_ = ViewTag_;
  if (!Tracker_.isOverride(Record))
    return;
  const FlowId Id = Record.id();
  if (Homes_.isSelf(Homes_.home(Id, Tracker_.serviceOf(Id).seed())))
    Replicator_.queue(Record);
  else
    Replicator_.notifyHome(Record);
}

/// Marks the flow as established and counts it as a success of its upstream.
void Director::onEstablished(FlowRecord &Record) {
  Record.set(FlowRecord::Established);
  UpstreamState &Upstream = Tracker_.upstreamOf(Record);
  Upstream.Stalled_ = 0;
  if (Upstream.Lifecycle_.phase() == LifecyclePhase::Ready)
    return;
  if (Upstream.Lifecycle_.phase() == LifecyclePhase::Silent)
    Upstream.Successes_ = 0;
  Upstream.Lifecycle_.apply(LifecycleEvent::Answered);
  if (++Upstream.Successes_ >= WarmSuccesses)
    Upstream.Lifecycle_.apply(LifecycleEvent::Warmed);
}

/// Counts the flow, once, as stalled at its upstream.
void Director::onStalled(FlowRecord &Record) {
  UpstreamState &Upstream = Tracker_.upstreamOf(Record);
  if (Record.has(FlowRecord::Retransmitted))
    return;
  Record.set(FlowRecord::Retransmitted);
  if (Upstream.Stalled_++ == 0)
    Upstream.StalledSince_ = Now_;
  if (Upstream.Stalled_ >= SilentFlows &&
      Now_ - Upstream.StalledSince_ >= SilentAfter) {
    Upstream.Lifecycle_.apply(LifecycleEvent::FellSilent);
    Upstream.ProbedAt_ = Now_;
  }
}

HomeShare Director::homeShare() const {
  const auto WallTime =
      std::chrono::duration_cast<Seconds>(Clock_.wallNow().time_since_epoch());
  // A turn is current in only one second of its four, so that the homes'
  // counts arrive before the next turn.
  constexpr std::int64_t TurnSeconds = 4;
  constexpr std::int64_t OpenSecond = 2;
  HomeShare Share{std::max<std::size_t>(Homes_.liveCount(), 1),
                  Homes_.liveRank(), std::nullopt, Now_};
  if (WallTime.count() % TurnSeconds == OpenSecond)
    Share.Turn_ = static_cast<std::uint64_t>(WallTime.count() / TurnSeconds);
  return Share;
}

void Director::adopt(const config::ActiveConfig &Document) {
  if (!Tracker_.services().adopt(Document, Now_))
    return;
  Replicator_.adoptConfiguration(Now_);
  startFastSweep();
}

void Director::adopt(const membership::View &Members) {
  const bool WasSuspended = Homes_.suspended();
  Homes_.adopt(Members, Now_);
  ViewTag_ = static_cast<std::uint16_t>(Members.id().value());
  if (Homes_.suspended() && !WasSuspended)
    clearState();
  Replicator_.adoptView(false);
  startFastSweep();
}

void Director::receive(const wire::Incoming &Message) {
  const auto *Packed = std::get_if<wire::FlowUpdate>(&Message.Message_);
  // While suspended, updates are not acknowledged, so the sender retransmits
  // them.
  if (Packed == nullptr || Homes_.suspended())
    return;
  if (const std::optional<Update> Decoded = Update::decode(Packed->Bytes_))
    Replicator_.receive(Message.From_, *Decoded, Now_);
}

std::vector<wire::Outgoing> Director::takeOutgoing() {
  return Replicator_.takeOutgoing(Now_);
}

void Director::leave() {
  if (Homes_.leaving())
    return;
  Homes_.leave();
  Replicator_.leave();
}

bool Director::handedOver() const noexcept { return Replicator_.handedOver(); }

void Director::clearState() {
  Tracker_.clear();
  Replicator_.adoptView(true);
}

} // namespace medlarmoor::flow
