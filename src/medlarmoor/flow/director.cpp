#include <medlarmoor/core/overloaded.hpp>
#include <medlarmoor/flow/director.hpp>
#include <medlarmoor/wire/message.hpp>

namespace medlarmoor::flow {

namespace {

using membership::Member;
using upstream::LifecycleEvent;
using upstream::LifecyclePhase;

/// A first packet that comes again within this time of the flow's last packet
/// is a repetition; later it opens a new flow on the same ports.
constexpr Stamp RepetitionSeconds = 3;
/// A repeated first packet leaves an upstream that drains for this long.
constexpr Nanos DrainSettles = Seconds(1);
/// Flows without an answer, and for how long, that make an upstream silent.
constexpr std::uint32_t SilentFlows = 4;
constexpr Nanos SilentAfter = Seconds(2);
/// Established flows after which an upstream is warm.
constexpr std::uint32_t WarmSuccesses = 32;

/// Others may take over once they miss this entry's heartbeats for the lease;
/// the last heartbeat may be one period old when a pause begins, and the next
/// is due one period after.
Nanos longestPause(const config::MembershipSettings &Timing) {
  return std::max(Timing.Lease_ - 2 * Timing.Heartbeat_, Timing.Heartbeat_);
}

} // namespace

Director::Director(const config::Settings &Told, Clock Time, Random Generator)
    : Clock_(std::move(Time)), Random_(Generator), Idle_(Told.Flow_.Idle_),
      LongestPause_(longestPause(Told.Membership_)),
      Tracker_(Told.Domain_, Told.Flow_.Flows_),
      Homes_(Told.Name_, Told.Membership_.Lease_),
      Replicator_(Tracker_, Homes_, Random_, Told.Flow_.ReplicationBytes_),
      Now_(Clock_.now()), Stamp_(toStamp(Now_)) {}

void Director::readClock() {
  const TimePoint Before = Now_;
  Now_ = Clock_.now();
  Stamp_ = toStamp(Now_);
  if (Now_ - Before <= LongestPause_ || Homes_.leaving())
    return;
  Homes_.suspend();
  clearState();
}

PreparedPacket Director::prepare(std::span<const std::byte> Inner) {
  PreparedPacket Out;
  Out.DropReason_ = parsePacket(Inner, Out.Packet_);
  if (Out.DropReason_)
    return Out;
  const Endpoint To = Out.Packet_.Destination_;
  const std::optional<ServiceIndex> Service = Tracker_.services().find(To);
  if (!Service) {
    Out.DropReason_ = Tracker_.services().empty() ? DropReason::NoConfiguration
                                                  : DropReason::UnknownAddress;
    return Out;
  }
  Out.Id_ = {*Service, hashFlow(Out.Packet_.Source_, To)};
  Tracker_.table().prefetch(Out.Id_);
  return Out;
}

Decision Director::decide(const PreparedPacket &Seen) {
  return decideFrom(Seen, {});
}

Decision Director::decide(const PreparedPacket &Seen, const PeerHeader &Header,
                          Ipv4 From) {
  Arrival Via{Header, nullptr};
  for (const Member &Each : Homes_.view().members())
    if (Each.Address_ == From)
      Via.Sender_ = &Each;
  return decideFrom(Seen, Via);
}

Decision Director::decideFrom(const PreparedPacket &Seen, const Arrival &Via) {
  if (Seen.DropReason_)
    return Drop{*Seen.DropReason_};
  FlowRecord *Record = Tracker_.table().find(Seen.Id_);
  const bool Own = Record != nullptr && !Record->has(FlowRecord::Replica);
  if (Own && (!Seen.Packet_.opensFlow() || ownsFirstPacket(Seen.Id_, *Record)))
    return onRecord(*Record, Seen.Packet_);
  return route(Seen.Id_, Own ? nullptr : Record, Seen.Packet_, Via);
}

/// A first packet is this entry's to judge when it is the flow's home, or when
/// it repeats one that this entry has forwarded just now.
bool Director::ownsFirstPacket(FlowId Id, const FlowRecord &Record) {
  const bool Recent =
      secondsBetween(Record.LastPacketAt_, Stamp_) <= RepetitionSeconds &&
      !Record.has(FlowRecord::Closing);
  return Recent ||
         Homes_.isSelf(Homes_.home(Id, Tracker_.serviceOf(Id).seed()));
}

Decision Director::onRecord(FlowRecord &Record, const Packet &Seen) {
  if (Seen.opensFlow())
    return onRepeatedFirstPacket(Record, Seen);
  if (Seen.Rst_)
    return onReset(Record);
  if (!Record.has(FlowRecord::Established))
    onEstablished(Record);
  if (Record.LastPacketAt_ != Stamp_)
    Record.LastPacketAt_ = Stamp_;
  if (Seen.Fin_)
    Tracker_.close(Record);
  return forwardToUpstream(Record);
}

Decision Director::onReset(FlowRecord &Record) {
  const Decision Out = forwardToUpstream(Record);
  if (Record.has(FlowRecord::Replicated))
    Replicator_.queueEnded(Record);
  Tracker_.erase(&Record);
  return Out;
}

Decision Director::onRepeatedFirstPacket(FlowRecord &Record,
                                         const Packet &Seen) {
  const UpstreamState &Of = Tracker_.upstreamOf(Record);
  const bool Recent =
      secondsBetween(Record.LastPacketAt_, Stamp_) <= RepetitionSeconds;
  const bool Established = Record.has(FlowRecord::Established);
  const bool Closed = Record.has(FlowRecord::Closing);
  const bool Drained = Of.Lifecycle_.phase() != LifecyclePhase::Silent &&
                       !Of.Lifecycle_.takesNew() &&
                       Now_ - Of.DrainedAt_ > DrainSettles;
  if (!Established)
    onStalled(Record);
  const bool Silent = Of.Lifecycle_.phase() == LifecyclePhase::Silent;
  const bool Stays =
      !Of.AddressReused_ && !Closed &&
      (Established ? Recent || Of.Lifecycle_.takesNew() : !Drained && !Silent);
  if (Stays) {
    Record.LastPacketAt_ = Stamp_;
    return forwardToUpstream(Record);
  }
  const bool WasCopied = Record.has(FlowRecord::Replicated);
  const FlowId Id = Record.id();
  Tracker_.erase(&Record);
  Decision Out = openFlow(Id, Seen);
  FlowRecord *Fresh = Tracker_.table().find(Id);
  if (WasCopied && Fresh != nullptr) {
    Fresh->set(FlowRecord::ReplacesReplica);
    Replicator_.queue(*Fresh);
  }
  return Out;
}

Decision Director::route(FlowId Id, FlowRecord *Copy, const Packet &Seen,
                         const Arrival &Via) {
  const std::uint64_t Seed = Tracker_.serviceOf(Id).seed();
  const PeerIntent Intent = Via.Header_.Intent_;
  const bool Passable = Via.Header_.Hops_ < MaxHops;
  const bool Active = Homes_.active(Now_);
  const bool Asked = Intent == PeerIntent::ToPrevious && Via.Sender_ != nullptr;
  const bool Given = Intent == PeerIntent::HandedOff && Via.Sender_ != nullptr;
  if (Intent == PeerIntent::ToContender && Via.Sender_ != nullptr && Passable) {
    const bool Mine = Active && Homes_.isSelf(Homes_.home(Id, Seed)) &&
                      Homes_.previous(Id, Seed, Seen.opensFlow()) == nullptr;
    return Mine ? decideLocally(Id, Copy, Seen)
                : forwardToEntry(*Via.Sender_, Via, PeerIntent::HandedOff);
  }
  // It has been granted the flow, and the grant is still on its way.
  if (Asked && Active && Copy == nullptr && Passable &&
      !Homes_.awaitsGrants() && isHome(*Via.Sender_, Id))
    return forwardToEntry(*Via.Sender_, Via, PeerIntent::HandedOff);
  const Member *Home = Asked ? Homes_.homeWithout(Id, Seed, Via.Sender_->Name_)
                             : Homes_.home(Id, Seed);
  // Who gives a flow away is not its home, whatever this entry's view says;
  // but one that leaves is no home for what it is given either.
  if (Given && Home != nullptr && Home->Name_ == Via.Sender_->Name_ &&
      !Homes_.leaving())
    Home = Homes_.homeWithout(Id, Seed, Via.Sender_->Name_);
  if (Home == nullptr && Asked && Passable)
    return forwardToEntry(*Via.Sender_, Via, PeerIntent::HandedOff);
  if (Home == nullptr || (!Active && Homes_.isSelf(Home)))
    return Drop{DropReason::NoHome};
  if (!Homes_.isSelf(Home)) {
    if (!Passable)
      return Active && !Homes_.awaitsGrants()
                 ? decideLocally(Id, Copy, Seen)
                 : Decision(Drop{DropReason::TooManyHops});
    const bool GivenAway = Active && Copy == nullptr &&
                           !Homes_.awaitsGrants() &&
                           Homes_.isHomeWithout(*Home, Id, Seed);
    return forwardToEntry(
        *Home, Via, GivenAway ? PeerIntent::HandedOff : PeerIntent::ToHome);
  }
  const EntryName Except = Asked ? Via.Sender_->Name_ : EntryName();
  const Member *Previous =
      Copy != nullptr || Given
          ? nullptr
          : Homes_.previous(Id, Seed, Seen.opensFlow(), Except);
  // Entries that join together may ask in a circle; the packet comes again.
  if (Previous != nullptr && !Passable)
    return Drop{DropReason::TooManyHops};
  if (Previous != nullptr)
    return forwardToEntry(*Previous, Via, PeerIntent::ToPrevious);
  const Member *Contender =
      Copy != nullptr || Given || Asked ? nullptr : Homes_.contender(Id, Seed);
  if (Contender != nullptr && Passable)
    return forwardToEntry(*Contender, Via, PeerIntent::ToContender);
  return decideLocally(Id, Copy, Seen);
}

bool Director::isHome(const Member &Each, FlowId Id) {
  const Member *Home = Homes_.home(Id, Tracker_.serviceOf(Id).seed());
  return Home != nullptr && Home->Name_ == Each.Name_;
}

Decision Director::forwardToEntry(const Member &To, const Arrival &Via,
                                  PeerIntent Intent) const {
  const auto Hops = static_cast<std::uint8_t>(Via.Header_.Hops_ + 1);
  return ToEntry{To.Address_, {Hops, Intent}};
}

Decision Director::decideLocally(FlowId Id, FlowRecord *Copy,
                                 const Packet &Seen) {
  if (Copy == nullptr)
    return Seen.opensFlow() ? openFlow(Id, Seen) : continueFlow(Id, Seen);
  if (Seen.opensFlow() && !Tracker_.upstreamOf(*Copy).Lifecycle_.takesNew()) {
    Tracker_.erase(Copy);
    return openFlow(Id, Seen);
  }
  Tracker_.promote(*Copy);
  onDecided(*Copy);
  return onRecord(*Copy, Seen);
}

Decision Director::openFlow(FlowId Id, const Packet &Seen) {
  const std::variant<Choice, RefuseReason> Chosen =
      choose(Tracker_.serviceOf(Id), Id.Hash_, homeShare());
  if (const RefuseReason *Reason = std::get_if<RefuseReason>(&Chosen))
    return Refuse{*Reason, Seen};
  const Choice &Taken = *std::get_if<Choice>(&Chosen);
  FlowRecord *Record = Tracker_.open(Id, Taken.Upstream_, Taken.Rule_);
  if (Record == nullptr)
    return Refuse{RefuseReason::TableFull, Seen};
  onDecided(*Record);
  return forwardToUpstream(*Record);
}

Decision Director::continueFlow(FlowId Id, const Packet &Seen) {
  ServiceState &Service = Tracker_.serviceOf(Id);
  const std::optional<UpstreamIndex> Upstream =
      Service.establishedDefaultOf(Id.Hash_);
  if (!Upstream)
    return Drop{DropReason::NoUpstream};
  if (!Seen.Rst_ && !Seen.Fin_) {
    FlowRecord *Record = Tracker_.open(Id, *Upstream, Rule::EstablishedDefault);
    if (Record != nullptr) {
      Record->set(FlowRecord::Established);
      onDecided(*Record);
    }
  }
  return ToUpstream{Service.upstreams()[*Upstream].Config_.Packets_};
}

Decision Director::forwardToUpstream(const FlowRecord &Record) {
  const UpstreamState &To = Tracker_.upstreamOf(Record);
  if (To.AddressReused_)
    return Drop{DropReason::UpstreamGone};
  return ToUpstream{To.Config_.Packets_};
}

/// Notes when and under which view a record was made, and whom to tell.
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

void Director::onEstablished(FlowRecord &Record) {
  Record.set(FlowRecord::Established);
  UpstreamState &Of = Tracker_.upstreamOf(Record);
  Of.Stalled_ = 0;
  if (Of.Lifecycle_.phase() == LifecyclePhase::Ready)
    return;
  if (Of.Lifecycle_.phase() == LifecyclePhase::Silent)
    Of.Successes_ = 0;
  Of.Lifecycle_.apply(LifecycleEvent::Answered);
  if (++Of.Successes_ >= WarmSuccesses)
    Of.Lifecycle_.apply(LifecycleEvent::Warmed);
}

void Director::onStalled(FlowRecord &Record) {
  UpstreamState &Of = Tracker_.upstreamOf(Record);
  if (Record.has(FlowRecord::Retransmitted))
    return;
  Record.set(FlowRecord::Retransmitted);
  if (Of.Stalled_++ == 0)
    Of.StalledSince_ = Now_;
  if (Of.Stalled_ >= SilentFlows && Now_ - Of.StalledSince_ >= SilentAfter) {
    Of.Lifecycle_.apply(LifecycleEvent::FellSilent);
    Of.ProbedAt_ = Now_;
  }
}

HomeShare Director::homeShare() const {
  const auto Turn =
      std::chrono::duration_cast<Seconds>(Clock_.wallNow().time_since_epoch());
  constexpr std::int64_t TurnSeconds = 4;
  constexpr std::int64_t OpenSecond = 2;
  HomeShare Out{std::max<std::size_t>(Homes_.liveCount(), 1),
                Homes_.livePlace(), std::nullopt, Now_};
  if (Turn.count() % TurnSeconds == OpenSecond)
    Out.Turn_ = static_cast<std::uint64_t>(Turn.count() / TurnSeconds);
  return Out;
}

void Director::adopt(const config::InForce &Document) {
  if (!Tracker_.services().adopt(Document, Now_))
    return;
  Replicator_.adoptConfiguration(Now_);
  startFastSweep();
}

void Director::adopt(const membership::View &Members) {
  const bool Anew = Homes_.suspended();
  Homes_.adopt(Members, Now_);
  ViewTag_ = static_cast<std::uint16_t>(Members.id().value());
  if (Homes_.suspended() && !Anew)
    clearState();
  Replicator_.adoptView(false);
  startFastSweep();
}

void Director::receive(const wire::Incoming &Message) {
  const auto *Packed = std::get_if<wire::FlowUpdate>(&Message.Message_);
  // Nothing is acknowledged while suspended; it comes again.
  if (Packed == nullptr || Homes_.suspended())
    return;
  if (const std::optional<Update> Told = Update::decode(Packed->Bytes_))
    Replicator_.receive(Message.From_, *Told, Now_);
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
