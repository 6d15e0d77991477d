#include <medlarmoor/config/follower.hpp>

#include <algorithm>

namespace medlarmoor::config {

namespace {

/// An entry without a document first listens to its neighbours for this long,
/// because the platform may answer old data. Without any view after it, the
/// entry watches the platform by itself.
constexpr Millis ListenFirst{1000};
/// A gap between ticks that tells that the process stood still.
constexpr Millis PauseGap{1000};
constexpr Millis PartRetry{200};
/// How long a member that can't reach the platform comes last.
constexpr Millis LossRemembered{10'000};
/// Shortest time between two reports to the leader.
constexpr Millis ReportPeriod{10'000};
/// After a change of leader the reports of all members spread over this time.
constexpr std::int64_t ReportSpreadMs = 2000;
/// Parts read from the platform at once.
constexpr std::size_t PartsAtOnce = 16;

} // namespace

Follower::Follower(std::string Environment, EntryName Self, Clock Time,
                   Random Source)
    : Self_(std::move(Self)), Clock_(Time), Replica_(std::move(Environment)),
      Pulls_(Time, Random(Source())), Duty_(Time, Random(Source())),
      Random_(Source()), RetryParts_(Time.now()), NextReport_(Time.now()),
      Started_(Time.now()), LastTick_(Time.now()) {}

bool Follower::isStranger() const { return Live_.empty() && !isListening(); }

bool Follower::isListening() const {
  return Replica_.version() == ConfigVersion(0) &&
         Clock_.now() - Started_ < ListenFirst;
}

bool Follower::watches() const {
  return (Tree_.watches(Self_) || isStranger()) && !isListening();
}

bool Follower::leads() const { return Tree_.leader() == Self_ || isStranger(); }

void Follower::replant() {
  const TimePoint Now = Clock_.now();
  std::erase_if(Lost_, [Now](const auto &Each) { return Each.second <= Now; });
  std::set<EntryName> Last;
  for (const auto &[Name, Until] : Lost_)
    Last.insert(Name);
  Tree_ = PushTree(Live_, Last);
  Duty_.set(watches(), !leads());
}

FollowerActions Follower::onMembers(std::vector<EntryName> Live) {
  Live_ = std::move(Live);
  Pulls_.onMembers(Live_);
  replant();
  return after({});
}

FollowerActions Follower::onHeartbeat(const EntryName &From,
                                      ConfigVersion Version) {
  if (From != Self_)
    Pulls_.onHeard(From, Version, false);
  return after({});
}

FollowerActions Follower::onNotice(const EntryName &From,
                                   ConfigVersion Version) {
  if (From != Self_)
    Pulls_.onHeard(From, Version, true);
  return after({});
}

FollowerActions Follower::onPlatformLost(const EntryName &From) {
  Lost_[From] = Clock_.now() + LossRemembered;
  replant();
  return after({});
}

FollowerActions Follower::onManifest(const std::string &Text) {
  FollowerActions Out;
  std::string Reason;
  const std::optional<Manifest> Read = readManifest(Text, Reason);
  if (!Read) {
    Out.emplace_back(Reject{Reason});
    return Out;
  }
  const ConfigVersion Before = Replica_.version();
  const bool Same =
      Read->Version_ == Before && Read->Token_ != Replica_.token();
  Replica_.aim(*Read);
  if (Same)
    Out.emplace_back(Reject{Replica_.lastReason()});
  if (Replica_.version() != Before)
    announce(Out);
  fetchMissing(Out);
  return after(std::move(Out));
}

FollowerActions Follower::onListed(std::optional<std::uint64_t> Revision) {
  Duty_.onListed(Revision);
  return after({});
}

FollowerActions Follower::onWatched(std::optional<std::uint64_t> Revision) {
  Duty_.onWatched(Revision);
  return after({});
}

FollowerActions Follower::onTooOld() {
  Duty_.onTooOld();
  return after({});
}

FollowerActions Follower::onRead(bool Answered) {
  Duty_.onRead(Answered);
  return after({});
}

FollowerActions Follower::onPart(const PartId &Id,
                                 const std::optional<std::string> &Text) {
  FollowerActions Out;
  Reading_.erase(Id);
  const bool Adopted = Text && Replica_.put(Id, *Text);
  if (!Text)
    RetryParts_ = Clock_.now() + PartRetry;
  if (Text && !Replica_.lastReason().empty()) {
    RetryParts_ = Clock_.now() + PartRetry;
    Out.emplace_back(Reject{Replica_.lastReason()});
  }
  if (Adopted)
    announce(Out);
  fetchMissing(Out);
  return after(std::move(Out));
}

FollowerActions Follower::onPulled(const EntryName &From,
                                   const std::optional<std::string> &Text) {
  FollowerActions Out;
  if (!Text || Text->empty()) {
    Pulls_.onDone(From, Text ? PullResult::Done : PullResult::Failed);
    return after({});
  }
  std::string Reason;
  const std::optional<Manifest> Read = readManifest(*Text, Reason);
  if (!Read) {
    Pulls_.onDone(From, PullResult::Failed);
    Out.emplace_back(Reject{Reason});
    return Out;
  }
  const bool Newer = Read->Version_ > Replica_.version();
  if (Replica_.adopt(*Read))
    announce(Out);
  else if (Newer)
    Out.emplace_back(Reject{Replica_.lastReason()});
  const bool Fits = !Newer || Replica_.lastReason().empty();
  Pulls_.onDone(From, Fits ? PullResult::Done : PullResult::DidNotFit);
  return after(std::move(Out));
}

FollowerActions Follower::onTick() {
  FollowerActions Out;
  const TimePoint Now = Clock_.now();
  if (Now - LastTick_ >= PauseGap)
    Duty_.readSoon();
  LastTick_ = Now;
  replant();
  fetchMissing(Out);
  report(Out);
  admitLoss(Out);
  return after(std::move(Out));
}

/// Tells the leader which version is in force here. In a large domain the
/// leader hears the heartbeats of few members only.
void Follower::report(FollowerActions &Out) {
  const std::optional<EntryName> Leader = Tree_.leader();
  if (!Leader || *Leader == Self_ || Replica_.version() == ConfigVersion(0))
    return;
  const TimePoint Now = Clock_.now();
  if (*Leader != ReportedTo_) {
    std::uniform_int_distribution<std::int64_t> Spread(0, ReportSpreadMs);
    ReportedTo_ = *Leader;
    Reported_ = ConfigVersion(0);
    NextReport_ = Now + Millis(Spread(Random_));
  }
  if (Reported_ == Replica_.version() || Now < NextReport_)
    return;
  Reported_ = Replica_.version();
  NextReport_ = Now + ReportPeriod;
  Out.emplace_back(Tell{*Leader, Reported_});
}

/// Lets another member watch. While the loss is remembered here too, it is not
/// told again.
void Follower::admitLoss(FollowerActions &Out) {
  if (!Duty_.lost() || Live_.size() <= Watchers || Lost_.count(Self_) != 0)
    return;
  Lost_[Self_] = Clock_.now() + LossRemembered;
  replant();
  Out.emplace_back(TellPlatformLost{Replica_.version()});
}

/// What may have become due by any event.
FollowerActions Follower::after(FollowerActions Out) {
  for (FollowerAction &Each : Duty_.tick())
    Out.push_back(std::move(Each));
  if (const std::optional<Pull> Next = Pulls_.next(Replica_.version()))
    Out.emplace_back(*Next);
  return Out;
}

void Follower::fetchMissing(FollowerActions &Out) {
  if (Clock_.now() < RetryParts_)
    return;
  for (const PartId &Id : Replica_.missing()) {
    if (Reading_.size() >= PartsAtOnce)
      return;
    if (Reading_.insert(Id).second)
      Out.emplace_back(ReadPart{Id});
  }
}

void Follower::announce(FollowerActions &Out) {
  Out.emplace_back(Publish{Replica_.inForce()});
  for (EntryName &Each : Tree_.children(Self_))
    Out.emplace_back(Tell{std::move(Each), Replica_.version()});
}

std::string Follower::answer(ConfigVersion Have) const {
  const std::optional<Manifest> Out = Replica_.answer(Have);
  return Out ? Out->text() : std::string();
}

std::map<EntryName, ConfigVersion> Follower::versions() const {
  std::map<EntryName, ConfigVersion> Out;
  for (const EntryName &Each : Live_)
    if (const auto At = Pulls_.heard().find(Each); At != Pulls_.heard().end())
      Out.insert(*At);
  Out[Self_] = Replica_.version();
  return Out;
}

} // namespace medlarmoor::config
