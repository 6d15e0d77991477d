#include <medlarmoor/core/hash.hpp>
#include <medlarmoor/membership/mesh.hpp>
#include <medlarmoor/membership/targets.hpp>

#include <algorithm>

namespace medlarmoor::membership {

namespace {

using wire::Phase;

/// How long a gone peer is kept and occasionally contacted.
constexpr Nanos GoneRetention = Seconds(600);
/// The maximum number of member updates in one heartbeat.
constexpr std::size_t UpdatesPerHeartbeat = 16;
/// The number of inactive instances that an entry contacts with each heartbeat
/// until it is live.
constexpr std::size_t ContactsPerHeartbeat = 4;
/// The first two home candidates of this key are the list watchers, which read
/// the platform's list on behalf of the failure domain.
const std::uint64_t ListWatchKey = hashText("platform list");

/// Returns the silence after which a peer is suspected. A suspect has the same
/// time again to refute the suspicion.
Nanos suspicionTimeout(const config::MembershipSettings &Timing) {
  return Timing.Lease_ / 2;
}

} // namespace

Mesh::Mesh(EntryName Self, Ipv4 Address, config::MembershipSettings Timing,
           Incarnation Run, Clock Time, Random Source,
           std::vector<ListedInstance> Seeds)
    : Self_(std::move(Self)), Address_(Address), Timing_(Timing), Run_(Run),
      Time_(std::move(Time)), Source_(Source), Peers_(MaxPeers, GoneRetention),
      Schedule_(Timing.ListPeriod_), Listed_(std::move(Seeds)),
      View_(std::make_shared<const View>(Self_, std::vector<Member>())),
      LastHeartbeat_(Time_.now()), NextHeartbeat_(LastHeartbeat_) {}

Actions Mesh::tick() {
  Actions NewActions;
  checkLease(NewActions);
  const TimePoint Now = Time_.now();
  advanceLifecycle(NewActions);
  if (Now >= NextHeartbeat_)
    sendHeartbeat(NewActions);
  detectFailures(NewActions);
  sendUrgentUpdates(NewActions);
  readList(NewActions);
  publish(NewActions);
  return NewActions;
}

Actions Mesh::onMessage(const wire::Incoming &Received) {
  Actions NewActions;
  checkLease(NewActions);
  if (state() == EntryState::Stopped)
    return NewActions;
  std::visit(
      [&](const auto &Message) { receive(Received, Message, NewActions); },
      Received.Message_);
  publish(NewActions);
  return NewActions;
}

Actions Mesh::onList(const std::optional<std::vector<ListedInstance>> &List) {
  Actions NewActions;
  checkLease(NewActions);
  Schedule_.finished(
      Time_.now(), List ? std::optional(List->size()) : std::nullopt, Source_);
  if (!List)
    return NewActions;
  Listed_ = *List;
  std::erase_if(Listed_,
                [this](const auto &Listed) { return Listed.Name_ == Self_; });
  if (Lifecycle_.state() == EntryState::Starting && Lifecycle_.contacted())
    JoiningSince_ = Time_.now();
  return NewActions;
}

Actions Mesh::onStaleRun(const EntryName &From) {
  Actions NewActions;
  const Peer *Known = Peers_.find(From);
  if (!Known)
    return NewActions;
  wire::Heartbeat Reply = heartbeat(0);
  Reply.Updates_ = {Known->toUpdate()};
  NewActions.emplace_back(Send{{Known->Address_}, std::move(Reply)});
  return NewActions;
}

void Mesh::setConfig(ConfigVersion Version) {
  if (Version <= Config_)
    return;
  Config_ = Version;
  UrgentPending_ = true;
}

Actions Mesh::leave() {
  Actions NewActions;
  if (!Lifecycle_.leave())
    return NewActions;
  changePhase(Phase::Leaving);
  sendUrgentUpdates(NewActions);
  publish(NewActions);
  return NewActions;
}

Actions Mesh::completeLeave() {
  Actions NewActions;
  if (!Lifecycle_.handoffComplete())
    return NewActions;
  std::vector<EntryName> Targets = successors(activeNames(), Self_);
  addRandom(Targets, activeNames(), UrgentTargets, Source_);
  if (!Targets.empty())
    NewActions.emplace_back(Send{addresses(Targets), wire::LeaveNotice{}});
  changePhase(Phase::Gone);
  publish(NewActions);
  return NewActions;
}

bool Mesh::leaseValid() const {
  return state() == EntryState::Live &&
         Time_.now() - LastHeartbeat_ <= Timing_.Lease_;
}

std::optional<Ipv4> Mesh::address(const EntryName &Name) const {
  const Peer *Known = Peers_.find(Name);
  if (!Known || !Known->active())
    return std::nullopt;
  return Known->Address_;
}

std::vector<Ipv4> Mesh::otherAddresses() const {
  std::vector<Ipv4> Addresses;
  for (const Member &Other : View_->members())
    if (Other.Name_ != Self_)
      Addresses.push_back(Other.Address_);
  return Addresses;
}

bool Mesh::large() const { return Peers_.active() > FullMeshPeers; }

std::size_t Mesh::listDisagreements() const {
  std::size_t Count = 0;
  for (const ListedInstance &Listed : Listed_)
    if (!Listed.Leaving_ && !View_->find(Listed.Name_))
      ++Count;
  for (const Member &InView : View_->members())
    if (InView.Name_ != Self_ &&
        std::none_of(Listed_.begin(), Listed_.end(), [&](const auto &Listed) {
          return Listed.Name_ == InView.Name_;
        }))
      ++Count;
  return Count;
}

/// Starts a new incarnation if this entry has not sent a heartbeat for a lease.
/// Then its process did not run, and the other entries, which measure the lease
/// from the arrival of a heartbeat, may have removed it.
void Mesh::checkLease(Actions &NewActions) {
  const TimePoint Now = Time_.now();
  if (Now - LastHeartbeat_ <= Timing_.Lease_)
    return;
  LastHeartbeat_ = Now;
  if (Lifecycle_.state() == EntryState::Stopped)
    return;
  Peers_.markAllHeard(Now);
  changeIncarnation(Incarnation(Run_.value() + 1), NewActions);
}

/// Continues under the incarnation Run. The entry has to join again.
void Mesh::changeIncarnation(Incarnation Run, Actions &NewActions) {
  Run_ = Run;
  Generation_ = 0;
  NewActions.emplace_back(ChangeIncarnation{Run});
  const TimePoint Now = Time_.now();
  NextHeartbeat_ = Now;
  if (Lifecycle_.state() == EntryState::Leaving)
    return;
  Lifecycle_.leaseLapsed();
  if (Lifecycle_.resumed()) {
    JoiningSince_ = Now;
    HasMemberTable_ = false;
    changePhase(Phase::Joining);
  }
  publish(NewActions);
}

void Mesh::advanceLifecycle(Actions &NewActions) {
  const TimePoint Now = Time_.now();
  if (state() != EntryState::Joining)
    return;
  const bool AnyLive =
      std::any_of(Peers_.peers().begin(), Peers_.peers().end(),
                  [](const auto &Entry) { return Entry.second.isMember(); });
  if (AnyLive && !HasMemberTable_ && Now >= NextTableRequest_)
    requestTable(NewActions);
  const Nanos Waited = Now - JoiningSince_;
  const bool MembersKnown =
      HasMemberTable_ || !AnyLive || Waited >= 4 * Timing_.Lease_;
  if (Waited < Timing_.Lease_ || !MembersKnown || !Lifecycle_.membersLearned())
    return;
  changePhase(Phase::Live);
}

void Mesh::sendHeartbeat(Actions &NewActions) {
  LastHeartbeat_ = Time_.now();
  NextHeartbeat_ = std::max(NextHeartbeat_ + Timing_.HeartbeatPeriod_,
                            LastHeartbeat_ + Timing_.HeartbeatPeriod_ / 2);
  if (state() == EntryState::Stopped)
    return;
  const std::vector<EntryName> Names = activeNames();
  std::vector<EntryName> Targets = successors(Names, Self_);
  if (Names.size() > FullMeshPeers)
    addRandom(Targets, Names, RandomTargets, Source_);
  if (!Targets.empty())
    NewActions.emplace_back(
        Send{addresses(Targets), heartbeat(Targets.size())});
  contactInactive(NewActions);
  Peers_.forgetGone(Time_.now());
}

/// Sends heartbeats to some instances that the list or an earlier view contains
/// but that are not active. Either the list lags, they are about to join, or a
/// network partition has healed.
void Mesh::contactInactive(Actions &NewActions) {
  std::vector<Ipv4> Inactive;
  for (const ListedInstance &Listed : Listed_) {
    const Peer *Known = Peers_.find(Listed.Name_);
    if (!Known || !Known->active())
      Inactive.push_back(Listed.Address_);
  }
  for (const auto &[Name, Known] : Peers_.peers())
    if (!Known.active() && std::find(Inactive.begin(), Inactive.end(),
                                     Known.Address_) == Inactive.end())
      Inactive.push_back(Known.Address_);
  if (Inactive.empty())
    return;
  // An entry that still learns the members contacts several, a member only one.
  const std::size_t Count =
      state() == EntryState::Starting || state() == EntryState::Joining
          ? ContactsPerHeartbeat
          : 1;
  std::shuffle(Inactive.begin(), Inactive.end(), Source_);
  Inactive.resize(std::min(Inactive.size(), Count));
  NewActions.emplace_back(Send{std::move(Inactive), heartbeat(0)});
}

void Mesh::detectFailures(Actions &NewActions) {
  const TimePoint Now = Time_.now();
  if (state() == EntryState::Stopped)
    return;
  for (Peer *Suspect : Peers_.suspectSilent(Now, suspicionTimeout(Timing_))) {
    Gossip_.add(Suspect->Name_, Peers_.active());
    UrgentPending_ = true;
    wire::Heartbeat Probe = heartbeat(0);
    Probe.Updates_ = {Suspect->toUpdate()};
    NewActions.emplace_back(Send{{Suspect->Address_}, std::move(Probe)});
  }
  if (!Peers_.expireSuspected(Now, suspicionTimeout(Timing_)).empty())
    markMembersChanged();
}

/// Sends pending updates immediately instead of with the next heartbeat, so
/// that a refutation arrives before the suspicion takes effect.
void Mesh::sendUrgentUpdates(Actions &NewActions) {
  if (!UrgentPending_)
    return;
  UrgentPending_ = false;
  const std::vector<EntryName> Names = activeNames();
  std::vector<EntryName> Targets;
  if (Names.size() <= FullMeshPeers)
    Targets = Names;
  else
    addRandom(Targets, Names, UrgentTargets, Source_);
  if (!Targets.empty())
    NewActions.emplace_back(
        Send{addresses(Targets), heartbeat(Targets.size())});
}

void Mesh::readList(Actions &NewActions) {
  if (state() != EntryState::Stopped &&
      Schedule_.due(Time_.now(), WatchesList_, Source_))
    NewActions.emplace_back(ReadList{});
}

void Mesh::publish(Actions &NewActions) {
  if (!MembersChanged_)
    return;
  MembersChanged_ = false;
  updateWatchedPeers();
  std::vector<Member> Members;
  for (const auto &[Name, Known] : Peers_.peers())
    if (Known.isMember())
      Members.push_back({Name, Known.Address_,
                         Known.Phase_ == Phase::Leaving ? MemberState::Leaving
                                                        : MemberState::Live});
  if (Phase_ == Phase::Live || Phase_ == Phase::Leaving)
    Members.push_back(
        {Self_, Address_,
         Phase_ == Phase::Leaving ? MemberState::Leaving : MemberState::Live});
  auto Next = std::make_shared<const View>(Self_, std::move(Members));
  if (std::ranges::equal(Next->members(), View_->members()))
    return;
  View_ = std::move(Next);
  WatchesList_ = watchesList();
  ViewChangedAt_ = Time_.now();
  NewActions.emplace_back(Publish{View_});
}

void Mesh::changePhase(Phase Next) {
  Phase_ = Next;
  ++Generation_;
  UrgentPending_ = true;
  Gossip_.add(Self_, Peers_.active());
  markMembersChanged();
}

void Mesh::markMembersChanged() { MembersChanged_ = true; }

wire::Heartbeat Mesh::heartbeat(std::size_t Messages) {
  wire::Heartbeat Result{Address_,    View_->id(), Config_,
                         Generation_, Phase_,      {}};
  for (const EntryName &Name : Gossip_.take(UpdatesPerHeartbeat, Messages)) {
    if (Name == Self_)
      Result.Updates_.push_back(ownUpdate());
    else if (const Peer *Known = Peers_.find(Name))
      Result.Updates_.push_back(Known->toUpdate());
  }
  return Result;
}

wire::MemberUpdate Mesh::ownUpdate() const {
  return {Self_, Address_, Run_, Generation_, Phase_};
}

std::vector<EntryName> Mesh::activeNames() const {
  std::vector<EntryName> Names;
  for (const auto &[Name, Known] : Peers_.peers())
    if (Known.active())
      Names.push_back(Name);
  return Names;
}

std::vector<Ipv4> Mesh::addresses(const std::vector<EntryName> &Names) const {
  std::vector<Ipv4> Addresses;
  Addresses.reserve(Names.size());
  for (const EntryName &Name : Names)
    Addresses.push_back(Peers_.find(Name)->Address_);
  return Addresses;
}

bool Mesh::watchesList() const {
  const Member *First = View_->home(ListWatchKey);
  if (!First || First->Name_ == Self_)
    return true;
  const Member *Second = View_->homeWithout(ListWatchKey, First->Name_);
  return Second && Second->Name_ == Self_;
}

/// Updates which peers this entry watches. A newly watched peer counts as just
/// heard, so that it has a full lease before its silence removes it.
void Mesh::updateWatchedPeers() {
  const std::vector<EntryName> ToWatch = predecessors(activeNames(), Self_);
  for (auto &[Name, Known] : Peers_.peers()) {
    const bool ShouldWatch =
        std::find(ToWatch.begin(), ToWatch.end(), Name) != ToWatch.end();
    if (ShouldWatch && !Known.Watched_)
      Known.LastHeard_ = std::max(Known.LastHeard_, Time_.now());
    Known.Watched_ = ShouldWatch;
  }
}

} // namespace medlarmoor::membership
