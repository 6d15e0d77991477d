#include <medlarmoor/config/follower.hpp>

#include <algorithm>

namespace medlarmoor::config {

namespace {

/// An entry without a document first waits this long for versions from its
/// neighbours, because the platform may return old data. If it still knows no
/// members after that, it watches the platform on its own.
constexpr Millis ListenPeriod{1000};
/// A gap between ticks from which on the process counts as having been paused.
constexpr Millis PauseGap{1000};
/// Delay before parts are read again after a failed or rejected part.
constexpr Millis PartRetryDelay{200};
/// A member that can't reach the platform is ordered last in the push tree for
/// this long.
constexpr Millis PlatformLossPeriod{10'000};
/// Minimum time between two reports to the same leader.
constexpr Millis MinReportInterval{10'000};
/// After a change of leader the members' reports are spread over this time.
constexpr std::int64_t ReportSpreadMs = 2000;
/// Maximum number of part reads in flight.
constexpr std::size_t MaxPartReads = 16;

} // namespace

Follower::Follower(std::string Environment, EntryName Self, Clock Time,
                   Random Source)
    : Self_(std::move(Self)), Clock_(Time), Replica_(std::move(Environment)),
      Pulls_(Time, Random(Source())), Scheduler_(Time, Random(Source())),
      Random_(Source()), RetryPartsAt_(Time.now()), NextReportAt_(Time.now()),
      StartedAt_(Time.now()), LastTickAt_(Time.now()) {}

bool Follower::actsAlone() const { return Live_.empty() && !isListening(); }

bool Follower::isListening() const {
  return Replica_.version() == ConfigVersion(0) &&
         Clock_.now() - StartedAt_ < ListenPeriod;
}

bool Follower::watches() const {
  return (Tree_.isWatcher(Self_) || actsAlone()) && !isListening();
}

bool Follower::leads() const { return Tree_.leader() == Self_ || actsAlone(); }

void Follower::rebuildTree() {
  const TimePoint Now = Clock_.now();
  std::erase_if(UnreachableUntil_,
                [Now](const auto &Entry) { return Entry.second <= Now; });
  std::set<EntryName> Unreachable;
  for (const auto &[Name, Until] : UnreachableUntil_)
    Unreachable.insert(Name);
  Tree_ = PushTree(Live_, Unreachable);
  Scheduler_.setDuty(watches(), !leads());
}

FollowerActions Follower::onMembers(std::vector<EntryName> Live) {
  Live_ = std::move(Live);
  Pulls_.onMembers(Live_);
  rebuildTree();
  return addDueActions({});
}

FollowerActions Follower::onHeartbeat(const EntryName &From,
                                      ConfigVersion Version) {
  if (From != Self_)
    Pulls_.onMemberVersion(From, Version, false);
  return addDueActions({});
}

FollowerActions Follower::onNotice(const EntryName &From,
                                   ConfigVersion Version) {
  if (From != Self_)
    Pulls_.onMemberVersion(From, Version, true);
  return addDueActions({});
}

FollowerActions Follower::onPlatformLost(const EntryName &From) {
  UnreachableUntil_[From] = Clock_.now() + PlatformLossPeriod;
  rebuildTree();
  return addDueActions({});
}

FollowerActions Follower::onManifest(const std::string &Text) {
  FollowerActions Actions;
  std::string Reason;
  const std::optional<Manifest> Offered = readManifest(Text, Reason);
  if (!Offered) {
    Actions.emplace_back(ReportRejection{Reason});
    return Actions;
  }
  const ConfigVersion PreviousVersion = Replica_.version();
  const bool IsConflicting = Offered->Version_ == PreviousVersion &&
                             Offered->Token_ != Replica_.token();
  Replica_.setTarget(*Offered);
  if (IsConflicting)
    Actions.emplace_back(ReportRejection{Replica_.lastReason()});
  if (Replica_.version() != PreviousVersion)
    publishAndNotify(Actions);
  readMissingParts(Actions);
  return addDueActions(std::move(Actions));
}

FollowerActions Follower::onListEnd(std::optional<StoreRevision> Revision) {
  Scheduler_.onListEnd(Revision);
  return addDueActions({});
}

FollowerActions Follower::onWatchEnd(std::optional<StoreRevision> Revision) {
  Scheduler_.onWatchEnd(Revision);
  return addDueActions({});
}

FollowerActions Follower::onWatchExpired() {
  Scheduler_.onWatchExpired();
  return addDueActions({});
}

FollowerActions Follower::onReadEnd(bool Answered) {
  Scheduler_.onReadEnd(Answered);
  return addDueActions({});
}

FollowerActions Follower::onPart(const PartId &Id,
                                 const std::optional<std::string> &Text) {
  FollowerActions Actions;
  PartReadsInFlight_.erase(Id);
  const bool Adopted = Text && Replica_.addPart(Id, *Text);
  if (!Text)
    RetryPartsAt_ = Clock_.now() + PartRetryDelay;
  if (Text && !Replica_.lastReason().empty()) {
    RetryPartsAt_ = Clock_.now() + PartRetryDelay;
    Actions.emplace_back(ReportRejection{Replica_.lastReason()});
  }
  if (Adopted)
    publishAndNotify(Actions);
  readMissingParts(Actions);
  return addDueActions(std::move(Actions));
}

FollowerActions Follower::onPullEnd(const EntryName &From,
                                    const std::optional<std::string> &Text) {
  FollowerActions Actions;
  if (!Text || Text->empty()) {
    Pulls_.onPullEnd(From, Text ? PullResult::Completed : PullResult::Failed);
    return addDueActions({});
  }
  std::string Reason;
  const std::optional<Manifest> Offered = readManifest(*Text, Reason);
  if (!Offered) {
    Pulls_.onPullEnd(From, PullResult::Failed);
    Actions.emplace_back(ReportRejection{Reason});
    return Actions;
  }
  const bool IsNewer = Offered->Version_ > Replica_.version();
  if (Replica_.adopt(*Offered))
    publishAndNotify(Actions);
  else if (IsNewer)
    Actions.emplace_back(ReportRejection{Replica_.lastReason()});
  const bool IsUsable = !IsNewer || Replica_.lastReason().empty();
  Pulls_.onPullEnd(From,
                   IsUsable ? PullResult::Completed : PullResult::BaseMismatch);
  return addDueActions(std::move(Actions));
}

FollowerActions Follower::onTick() {
  FollowerActions Actions;
  const TimePoint Now = Clock_.now();
  if (Now - LastTickAt_ >= PauseGap)
    Scheduler_.requestRead();
  LastTickAt_ = Now;
  rebuildTree();
  readMissingParts(Actions);
  reportVersion(Actions);
  announcePlatformLoss(Actions);
  return addDueActions(std::move(Actions));
}

/// Reports the version in force here to the leader. In a large domain the
/// leader receives the heartbeats of only a few members.
void Follower::reportVersion(FollowerActions &Actions) {
  const std::optional<EntryName> Leader = Tree_.leader();
  if (!Leader || *Leader == Self_ || Replica_.version() == ConfigVersion(0))
    return;
  const TimePoint Now = Clock_.now();
  if (*Leader != ReportedTo_) {
    std::uniform_int_distribution<std::int64_t> Spread(0, ReportSpreadMs);
    ReportedTo_ = *Leader;
    ReportedVersion_ = ConfigVersion(0);
    NextReportAt_ = Now + Millis(Spread(Random_));
  }
  if (ReportedVersion_ == Replica_.version() || Now < NextReportAt_)
    return;
  ReportedVersion_ = Replica_.version();
  NextReportAt_ = Now + MinReportInterval;
  Actions.emplace_back(NotifyMember{*Leader, ReportedVersion_});
}

/// Announces that this entry can't reach the platform, so that another member
/// watches instead. The loss is not announced again until it has expired here.
void Follower::announcePlatformLoss(FollowerActions &Actions) {
  if (!Scheduler_.hasLostPlatform() || Live_.size() <= WatcherCount ||
      UnreachableUntil_.count(Self_) != 0)
    return;
  UnreachableUntil_[Self_] = Clock_.now() + PlatformLossPeriod;
  rebuildTree();
  Actions.emplace_back(AnnouncePlatformLoss{Replica_.version()});
}

/// Appends the platform calls and the pull that are due. Any event can make
/// them due.
FollowerActions Follower::addDueActions(FollowerActions Actions) {
  for (FollowerAction &Call : Scheduler_.dueCalls())
    Actions.push_back(std::move(Call));
  if (const std::optional<Pull> DuePull = Pulls_.next(Replica_.version()))
    Actions.emplace_back(*DuePull);
  return Actions;
}

void Follower::readMissingParts(FollowerActions &Actions) {
  if (Clock_.now() < RetryPartsAt_)
    return;
  for (const PartId &Id : Replica_.missingParts()) {
    if (PartReadsInFlight_.size() >= MaxPartReads)
      return;
    if (PartReadsInFlight_.insert(Id).second)
      Actions.emplace_back(ReadPart{Id});
  }
}

void Follower::publishAndNotify(FollowerActions &Actions) {
  Actions.emplace_back(Publish{Replica_.inForce()});
  for (EntryName &Child : Tree_.children(Self_))
    Actions.emplace_back(NotifyMember{std::move(Child), Replica_.version()});
}

std::string Follower::pullAnswer(ConfigVersion HeldVersion) const {
  const std::optional<Manifest> Newer = Replica_.manifestSince(HeldVersion);
  return Newer ? Newer->text() : std::string();
}

std::map<EntryName, ConfigVersion> Follower::versions() const {
  std::map<EntryName, ConfigVersion> Versions;
  for (const EntryName &Member : Live_)
    if (const auto Known = Pulls_.memberVersions().find(Member);
        Known != Pulls_.memberVersions().end())
      Versions.insert(*Known);
  Versions[Self_] = Replica_.version();
  return Versions;
}

} // namespace medlarmoor::config
