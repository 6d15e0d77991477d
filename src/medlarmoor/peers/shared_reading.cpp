#include <medlarmoor/peers/shared_reading.hpp>

#include <algorithm>
#include <utility>

namespace medlarmoor::peers {

namespace {

/// Interval at which an instance gossips with a few others.
constexpr Millis GossipInterval{1000};
/// Minimum interval at which an instance announces its load.
constexpr Millis LoadInterval{250};
/// Maximum number of instances to which a load is announced. It bounds the
/// messages, which would otherwise grow with the square of the instances.
constexpr std::size_t LoadFanout = 16;
/// A starting instance pulls from peers when the store has not answered within
/// this time.
constexpr Millis FirstListTimeout{150};
/// A new peer that knows fewer members than this is told some.
constexpr std::size_t FewMembers = 8;
/// How long a recovery of the store is announced.
constexpr Millis StoreRecoveryAnnounceTime{5000};
/// A message that may have waited longer than this was delayed by a pause of
/// this process.
constexpr Millis MaxReceiveDelay{500};

} // namespace

SharedReading::SharedReading(Endpoint Self, DomainName LocalDomain,
                             std::vector<Endpoint> Seeds, Followers Collections,
                             const routing::Router &Table,
                             FreshnessTiming Timing, Fanout SpreadFanout,
                             Random RandomSource)
    : Self_(Self), LocalDomain_(LocalDomain),
      Members_(Self, std::move(LocalDomain), std::move(Seeds), RandomSource),
      Followers_(std::move(Collections)), Routes_(Table),
      SpreadFanout_(SpreadFanout) {
  for (objects::Follower *Collection : Followers_)
    Collections_.emplace_back(*Collection, Self, Timing);
}

SyncActions SharedReading::tick(placement::UpstreamReports Reports,
                                TimePoint Now) {
  SyncActions Actions;
  Members_.expire(Now);
  if (!Reports.empty()) {
    Announcement Message = makeAnnouncement(Now);
    Message.Reports_ = std::move(Reports);
    Actions.Sends_.push_back({Members_.all(), std::move(Message)});
  }
  if (std::any_of(Collections_.begin(), Collections_.end(),
                  [Now](const auto &Own) { return Own.shouldQuery(Now); }))
    Actions.Sends_.push_back(
        {Members_.spreadTargets(SpreadFanout_, Now), makeAnnouncement(Now)});
  if (Now >= NextGossip_) {
    // Until all collections are loaded and other instances are known, an
    // instance gossips at each tick: the seeds may start later than it does.
    NextGossip_ = loaded() && Members_.size() > 0 ? Now + GossipInterval : Now;
    Actions.Sends_.push_back(gossip(Members_.gossipTargets(), Now));
  }
  return Actions;
}

SyncActions
SharedReading::announceLoad(std::vector<placement::UpstreamLoad> Load,
                            TimePoint Now) {
  SyncActions Actions;
  if (Now < NextLoad_ || (Load.empty() && !LoadAnnounced_))
    return Actions;
  std::vector<Endpoint> Targets = Members_.localTargets(LoadFanout);
  NextLoad_ = Now + LoadInterval;
  LoadAnnounced_ = !Load.empty();
  if (Targets.empty())
    return Actions;
  Announcement Message = makeAnnouncement(Now);
  Message.Load_ = std::move(Load);
  Actions.Sends_.push_back({std::move(Targets), std::move(Message)});
  return Actions;
}

SyncActions SharedReading::receive(const Announcement &Message,
                                   TimePoint ArrivedAfter, TimePoint Now) {
  SyncActions Actions;
  const bool IsNewPeer =
      Members_.observe({Message.From_, Message.Domain_, Millis(0)}, Now);
  for (const Member &Sampled : Message.Members_)
    Members_.observe(Sampled, Now);
  // An instance that has just started learns the members and the revisions.
  if (IsNewPeer && Message.KnownMembers_ < FewMembers)
    Actions.Sends_.push_back(gossip({Message.From_}, Now));
  else if (shouldAnswer(Message, Now))
    Actions.Sends_.push_back({{Message.From_}, makeAnnouncement(Now)});
  if (Message.StoreRecovered_) {
    const bool Delayed = Now - ArrivedAfter > MaxReceiveDelay;
    Actions.StoreRecoveredAt_ =
        (Delayed ? ArrivedAfter : Now) - *Message.StoreRecovered_;
    recordStoreRecovery(*Actions.StoreRecoveredAt_);
  }
  receiveState(Upstreams, Message.Upstreams_, Message.From_, ArrivedAfter, Now,
               Actions);
  receiveState(Routes, Message.Routes_, Message.From_, ArrivedAfter, Now,
               Actions);
  if (readsEvacuations())
    receiveState(Evacuations, Message.Evacuations_, Message.From_, ArrivedAfter,
                 Now, Actions);
  receiveRouteVersion(Message.RouteVersion_, Message.From_, Actions);
  addSpread(Actions, Now);
  return Actions;
}

SyncActions SharedReading::spread(TimePoint Now) {
  SyncActions Actions;
  addSpread(Actions, Now);
  return Actions;
}

Adoption SharedReading::adopt(std::size_t Collection,
                              const CollectionState &Received,
                              TimePoint RequestedAt, TimePoint Now) {
  const objects::Follower &Own = *Followers_[Collection];
  // A peer has reached the store, although this instance's calls still fail or
  // have not been answered since a restore.
  const bool Recovered =
      Own.inOutage(Now) ||
      (Own.currentAsOf() && Received.Revision_.Epoch_ > Own.revision().Epoch_);
  if (!Collections_[Collection].adopt(Received, RequestedAt, instances(), Now))
    return {};
  if (Recovered)
    recordStoreRecovery(Now);
  return {true, Recovered};
}

void SharedReading::recordStoreRecovery(TimePoint RecoveredAt) {
  StoreRecoveredAt_ =
      std::max(StoreRecoveredAt_.value_or(RecoveredAt), RecoveredAt);
}

bool SharedReading::reading(TimePoint Now) const noexcept {
  return std::all_of(
      Collections_.begin(), Collections_.end(),
      [Now](const auto &Collection) { return Collection.reading(Now); });
}

Announcement SharedReading::makeAnnouncement(TimePoint Now) const {
  Announcement Message;
  Message.From_ = Self_;
  Message.Domain_ = LocalDomain_;
  Message.KnownMembers_ = Members_.size();
  Message.Upstreams_ = state(Upstreams, Now);
  Message.Routes_ = state(Routes, Now);
  Message.ReadsEvacuations_ = readsEvacuations();
  if (readsEvacuations())
    Message.Evacuations_ = state(Evacuations, Now);
  Message.RouteVersion_ = Routes_.table().Version_;
  if (StoreRecoveredAt_ && Now - *StoreRecoveredAt_ < StoreRecoveryAnnounceTime)
    Message.StoreRecovered_ =
        std::chrono::duration_cast<Millis>(Now - *StoreRecoveredAt_);
  return Message;
}

SendAnnouncement SharedReading::gossip(std::vector<Endpoint> Targets,
                                       TimePoint Now) {
  Announcement Message = makeAnnouncement(Now);
  Message.Members_ = Members_.sample(Now);
  return {std::move(Targets), std::move(Message)};
}

void SharedReading::addSpread(SyncActions &Actions, TimePoint Now) {
  if (Members_.size() == 0)
    return;
  bool HasNews = false;
  for (CollectionSync &Collection : Collections_)
    HasNews = Collection.takeSpread(Now) || HasNews;
  if (HasNews)
    Actions.Sends_.push_back(
        {Members_.spreadTargets(SpreadFanout_, Now), makeAnnouncement(Now)});
}

void SharedReading::receiveState(
    std::size_t Collection, const std::optional<CollectionState> &Announced,
    Endpoint Peer, TimePoint ArrivedAfter, TimePoint Now,
    SyncActions &Actions) {
  if (!Announced)
    return;
  const objects::Follower &Own = *Followers_[Collection];
  // The first list comes from the store while it answers: when all instances
  // start at once, pulls of complete collections would overload the few peers
  // that have them.
  if (!Own.currentAsOf() &&
      (Own.storeAnswers() || Now - StartedAt_ < FirstListTimeout))
    return;
  if (Collections_[Collection].receive(*Announced, ArrivedAfter, instances(),
                                       Now) == SyncStep::Pull)
    Actions.Pulls_.push_back({Collection, Peer});
}

void SharedReading::receiveRouteVersion(ConfigVersion Announced, Endpoint Peer,
                                        SyncActions &Actions) const {
  const bool Requested = std::any_of(
      Actions.Pulls_.begin(), Actions.Pulls_.end(),
      [](const PullChanges &Pull) { return Pull.Collection_ == Routes; });
  if (Routes_.ready() && Announced > Routes_.table().Version_ && !Requested)
    Actions.Pulls_.push_back({Routes, Peer});
}

bool SharedReading::shouldAnswer(const Announcement &Message,
                                 TimePoint Now) const noexcept {
  // A sender that does not read evacuations needs no answer about them.
  return Collections_[Upstreams].shouldAnswer(Message.Upstreams_, Message.From_,
                                              Now) ||
         Collections_[Routes].shouldAnswer(Message.Routes_, Message.From_,
                                           Now) ||
         (readsEvacuations() && Message.ReadsEvacuations_ &&
          Collections_[Evacuations].shouldAnswer(Message.Evacuations_,
                                                 Message.From_, Now));
}

bool SharedReading::loaded() const noexcept {
  return std::all_of(
      Followers_.begin(), Followers_.end(),
      [](const auto *Collection) { return bool(Collection->currentAsOf()); });
}

} // namespace medlarmoor::peers
