#include <medlarmoor/core/hash.hpp>
#include <medlarmoor/membership/mesh.hpp>
#include <medlarmoor/membership/targets.hpp>

#include <algorithm>

namespace medlarmoor::membership {

namespace {

using wire::Phase;

/// How long one that has gone is remembered, and tried now and then.
constexpr Nanos GoneRemembered = Seconds(600);
/// News in one heartbeat at most.
constexpr std::size_t NewsPerBeat = 16;
/// Contacts that are no peers yet which one heartbeat tries.
constexpr std::size_t ContactsPerBeat = 4;
/// Its two highest members read the platform's list for the domain.
const std::uint64_t ListWatchKey = hashText("platform list");

/// Silence after which a peer is suspected; it has as long again to refute.
Nanos suspectAfter(const config::MembershipSettings &Timing) {
  return Timing.Lease_ / 2;
}

} // namespace

Mesh::Mesh(EntryName Self, Ipv4 Address, config::MembershipSettings Timing,
           Incarnation Run, Clock Time, Random Source,
           std::vector<ListedInstance> Seeds)
    : Self_(std::move(Self)), Address_(Address), Timing_(Timing), Run_(Run),
      Time_(std::move(Time)), Source_(Source), Peers_(MaxPeers, GoneRemembered),
      Schedule_(Timing.ListPeriod_), Listed_(std::move(Seeds)),
      View_(std::make_shared<const View>(Self_, std::vector<Member>())),
      LastBeat_(Time_.now()), NextBeat_(LastBeat_) {}

Actions Mesh::tick() {
  Actions Out;
  checkLease(Out);
  const TimePoint Now = Time_.now();
  advanceLifecycle(Out);
  if (Now >= NextBeat_)
    beat(Out);
  judge(Out);
  flushUrgent(Out);
  readList(Out);
  publish(Out);
  return Out;
}

Actions Mesh::onMessage(const wire::Incoming &Each) {
  Actions Out;
  checkLease(Out);
  if (state() == EntryState::Stopped)
    return Out;
  std::visit([&](const auto &Message) { receive(Each, Message, Out); },
             Each.Message_);
  publish(Out);
  return Out;
}

Actions Mesh::onList(const std::optional<std::vector<ListedInstance>> &List) {
  Actions Out;
  checkLease(Out);
  Schedule_.finished(
      Time_.now(), List ? std::optional(List->size()) : std::nullopt, Source_);
  if (!List)
    return Out;
  Listed_ = *List;
  std::erase_if(Listed_,
                [this](const auto &Each) { return Each.Name_ == Self_; });
  if (Lifecycle_.state() == EntryState::Starting && Lifecycle_.contacted())
    JoinedAt_ = Time_.now();
  return Out;
}

Actions Mesh::onStaleRun(const EntryName &From) {
  Actions Out;
  const Peer *Known = Peers_.find(From);
  if (!Known)
    return Out;
  wire::Heartbeat Answer = heartbeat(0);
  Answer.News_ = {Known->news()};
  Out.emplace_back(Send{{Known->Address_}, std::move(Answer)});
  return Out;
}

void Mesh::setConfig(ConfigVersion Version) {
  if (Version <= Config_)
    return;
  Config_ = Version;
  Urgent_ = true;
}

Actions Mesh::leave() {
  Actions Out;
  if (!Lifecycle_.leave())
    return Out;
  changePhase(Phase::Leaving);
  flushUrgent(Out);
  publish(Out);
  return Out;
}

Actions Mesh::farewell() {
  Actions Out;
  if (!Lifecycle_.handedOver())
    return Out;
  std::vector<EntryName> To = successors(activeNames(), Self_);
  addRandom(To, activeNames(), UrgentTargets, Source_);
  if (!To.empty())
    Out.emplace_back(Send{addresses(To), wire::Farewell{}});
  changePhase(Phase::Gone);
  publish(Out);
  return Out;
}

bool Mesh::leaseValid() const {
  return state() == EntryState::Live &&
         Time_.now() - LastBeat_ <= Timing_.Lease_;
}

std::optional<Ipv4> Mesh::address(const EntryName &Name) const {
  const Peer *Each = Peers_.find(Name);
  if (!Each || !Each->active())
    return std::nullopt;
  return Each->Address_;
}

std::vector<Ipv4> Mesh::others() const {
  std::vector<Ipv4> Out;
  for (const Member &Each : View_->members())
    if (Each.Name_ != Self_)
      Out.push_back(Each.Address_);
  return Out;
}

bool Mesh::large() const { return Peers_.active() > FullMeshPeers; }

std::size_t Mesh::listDisagreements() const {
  std::size_t Out = 0;
  for (const ListedInstance &Each : Listed_)
    if (!Each.Leaving_ && !View_->find(Each.Name_))
      ++Out;
  for (const Member &Each : View_->members())
    if (Each.Name_ != Self_ &&
        std::none_of(Listed_.begin(), Listed_.end(), [&](const auto &Listed) {
          return Listed.Name_ == Each.Name_;
        }))
      ++Out;
  return Out;
}

/// The others count the lease from a heartbeat's arrival, so one that has sent
/// none for a lease did not run, and may have been removed.
void Mesh::checkLease(Actions &Out) {
  const TimePoint Now = Time_.now();
  if (Now - LastBeat_ <= Timing_.Lease_)
    return;
  LastBeat_ = Now;
  if (Lifecycle_.state() == EntryState::Stopped)
    return;
  Peers_.forgive(Now);
  restart(Incarnation(Run_.value() + 1), Out);
}

/// Goes on as a new run, which has to join again.
void Mesh::restart(Incarnation Run, Actions &Out) {
  Run_ = Run;
  Generation_ = 0;
  Out.emplace_back(Renew{Run});
  const TimePoint Now = Time_.now();
  NextBeat_ = Now;
  if (Lifecycle_.state() == EntryState::Leaving)
    return;
  Lifecycle_.lapsed();
  if (Lifecycle_.woken()) {
    JoinedAt_ = Now;
    HasTable_ = false;
    changePhase(Phase::Joining);
  }
  publish(Out);
}

void Mesh::advanceLifecycle(Actions &Out) {
  const TimePoint Now = Time_.now();
  if (state() != EntryState::Joining)
    return;
  const bool AnyLive =
      std::any_of(Peers_.peers().begin(), Peers_.peers().end(),
                  [](const auto &Pair) { return Pair.second.counts(); });
  if (AnyLive && !HasTable_ && Now >= NextTableRequest_)
    requestTable(Out);
  const Nanos Waited = Now - JoinedAt_;
  const bool Known = HasTable_ || !AnyLive || Waited >= 4 * Timing_.Lease_;
  if (Waited < Timing_.Lease_ || !Known || !Lifecycle_.learned())
    return;
  changePhase(Phase::Live);
}

void Mesh::beat(Actions &Out) {
  LastBeat_ = Time_.now();
  NextBeat_ = std::max(NextBeat_ + Timing_.Heartbeat_,
                       LastBeat_ + Timing_.Heartbeat_ / 2);
  if (state() == EntryState::Stopped)
    return;
  const std::vector<EntryName> Names = activeNames();
  std::vector<EntryName> To = successors(Names, Self_);
  if (Names.size() > FullMeshPeers)
    addRandom(To, Names, RandomTargets, Source_);
  if (!To.empty())
    Out.emplace_back(Send{addresses(To), heartbeat(To.size())});
  contact(Out);
  Peers_.forgetGone(Time_.now());
}

/// Tries some of those that the list or an earlier view names but that take no
/// part: it lags, they are about to join, or a cut between us has ended.
void Mesh::contact(Actions &Out) {
  std::vector<Ipv4> Silent;
  for (const ListedInstance &Each : Listed_) {
    const Peer *Known = Peers_.find(Each.Name_);
    if (!Known || !Known->active())
      Silent.push_back(Each.Address_);
  }
  for (const auto &[Name, Each] : Peers_.peers())
    if (!Each.active() &&
        std::find(Silent.begin(), Silent.end(), Each.Address_) == Silent.end())
      Silent.push_back(Each.Address_);
  if (Silent.empty())
    return;
  // One that learns the members tries several; a member tries one.
  const std::size_t Count =
      state() == EntryState::Starting || state() == EntryState::Joining
          ? ContactsPerBeat
          : 1;
  std::shuffle(Silent.begin(), Silent.end(), Source_);
  Silent.resize(std::min(Silent.size(), Count));
  Out.emplace_back(Send{std::move(Silent), heartbeat(0)});
}

void Mesh::judge(Actions &Out) {
  const TimePoint Now = Time_.now();
  if (state() == EntryState::Stopped)
    return;
  for (Peer *Each : Peers_.suspectSilent(Now, suspectAfter(Timing_))) {
    Gossip_.add(Each->Name_, Peers_.active());
    Urgent_ = true;
    wire::Heartbeat Probe = heartbeat(0);
    Probe.News_ = {Each->news()};
    Out.emplace_back(Send{{Each->Address_}, std::move(Probe)});
  }
  if (!Peers_.expireSuspected(Now, suspectAfter(Timing_)).empty())
    membersChanged();
}

/// News are passed on at once, not with the next heartbeat, so that a
/// refutation arrives before a suspicion takes effect.
void Mesh::flushUrgent(Actions &Out) {
  if (!Urgent_)
    return;
  Urgent_ = false;
  const std::vector<EntryName> Names = activeNames();
  std::vector<EntryName> To;
  if (Names.size() <= FullMeshPeers)
    To = Names;
  else
    addRandom(To, Names, UrgentTargets, Source_);
  if (!To.empty())
    Out.emplace_back(Send{addresses(To), heartbeat(To.size())});
}

void Mesh::readList(Actions &Out) {
  if (state() != EntryState::Stopped &&
      Schedule_.due(Time_.now(), WatchesList_, Source_))
    Out.emplace_back(ReadList{});
}

void Mesh::publish(Actions &Out) {
  if (!Changed_)
    return;
  Changed_ = false;
  rewatch();
  std::vector<Member> Members;
  for (const auto &[Name, Each] : Peers_.peers())
    if (Each.counts())
      Members.push_back({Name, Each.Address_,
                         Each.Phase_ == Phase::Leaving ? MemberState::Leaving
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
  ViewChanged_ = Time_.now();
  Out.emplace_back(Publish{View_});
}

void Mesh::changePhase(Phase Next) {
  Phase_ = Next;
  ++Generation_;
  Urgent_ = true;
  Gossip_.add(Self_, Peers_.active());
  membersChanged();
}

void Mesh::membersChanged() { Changed_ = true; }

wire::Heartbeat Mesh::heartbeat(std::size_t Messages) {
  wire::Heartbeat Out{Address_, View_->id(), Config_, Generation_, Phase_, {}};
  for (const EntryName &Name : Gossip_.take(NewsPerBeat, Messages)) {
    if (Name == Self_)
      Out.News_.push_back(ownNews());
    else if (const Peer *Each = Peers_.find(Name))
      Out.News_.push_back(Each->news());
  }
  return Out;
}

wire::MemberNews Mesh::ownNews() const {
  return {Self_, Address_, Run_, Generation_, Phase_};
}

std::vector<EntryName> Mesh::activeNames() const {
  std::vector<EntryName> Out;
  for (const auto &[Name, Each] : Peers_.peers())
    if (Each.active())
      Out.push_back(Name);
  return Out;
}

std::vector<Ipv4> Mesh::addresses(const std::vector<EntryName> &Names) const {
  std::vector<Ipv4> Out;
  Out.reserve(Names.size());
  for (const EntryName &Name : Names)
    Out.push_back(Peers_.find(Name)->Address_);
  return Out;
}

bool Mesh::watchesList() const {
  const Member *First = View_->home(ListWatchKey);
  if (!First || First->Name_ == Self_)
    return true;
  const Member *Second = View_->homeWithout(ListWatchKey, First->Name_);
  return Second && Second->Name_ == Self_;
}

/// A peer that comes to be watched gets a full lease before its silence counts.
void Mesh::rewatch() {
  const std::vector<EntryName> Now = predecessors(activeNames(), Self_);
  for (auto &[Name, Each] : Peers_.peers()) {
    const bool Watch = std::find(Now.begin(), Now.end(), Name) != Now.end();
    if (Watch && !Each.Watched_)
      Each.Heard_ = std::max(Each.Heard_, Time_.now());
    Each.Watched_ = Watch;
  }
}

} // namespace medlarmoor::membership
