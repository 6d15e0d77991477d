#include <harness/catalog_builder.hpp>
#include <harness/sync_fleet.hpp>

#include <algorithm>
#include <deque>
#include <tuple>
#include <utility>

namespace medlarmoor::harness {

namespace {

constexpr Millis TickInterval{100};
constexpr Millis PullTimeout{400};
constexpr Millis StoreAnswer{4};
constexpr Millis MaxLatency{5};
/// An instance is in touch again this long after a disturbance.
constexpr Millis StableWindow{1000};

Endpoint endpoint(std::size_t Index) {
  return {Ipv4(0x0a010000 + static_cast<std::uint32_t>(Index)), 7720};
}

} // namespace

struct SyncFleet::Call {
  std::size_t Index_ = 0;
  std::uint64_t Incarnation_ = 0;
  std::size_t Collection_ = 0;
  std::uint64_t Since_ = 0;
  TimePoint Sent_{};
  bool Silent_ = false;
  bool Done_ = false;
};

struct SyncFleet::Instance {
  std::size_t Index_ = 0;
  std::uint64_t Incarnation_ = 0;
  bool Running_ = false;
  TimePoint PausedUntil_{};
  TimePoint StoreCutUntil_{};
  TimePoint PeersCutUntil_{};
  TimePoint RefusedUntil_{};
  TimePoint DisturbedUntil_{};
  /// Since when the instance has been in touch without a disturbance.
  TimePoint BusyUntil_{};
  std::array<std::unique_ptr<objects::Follower>, 2> Followers_;
  std::unique_ptr<peers::SharedReading> Reading_;
  std::array<std::uint64_t, 2> Known_{};
  /// Index into Changes_ of the first change not learnt yet.
  std::array<std::size_t, 2> NextChange_{};
  std::array<bool, 2> Pulling_{};
  std::deque<peers::Announcement> Inbox_;
  bool ReceiveScheduled_ = false;
  TimePoint DrainedAt_{};
};

SyncFleet::SyncFleet(Options Setup)
    : Setup_(Setup), Random_(Setup.Seed_), Now_(at(0)) {
  for (std::size_t I = 0; I < Setup_.Instances_; ++I) {
    Instances_.push_back(std::make_unique<Instance>());
    Instances_.back()->Index_ = I;
    after(Millis(Random_() % 300), [this, I] { start(I); });
  }
}

SyncFleet::~SyncFleet() = default;

void SyncFleet::run(Millis Duration) {
  const TimePoint End = Now_ + Duration;
  while (!Events_.empty() && Events_.top().At_ <= End) {
    const Event Due = Events_.top();
    Events_.pop();
    Now_ = std::max(Now_, Due.At_);
    Due.Action_();
  }
  Now_ = End;
}

void SyncFleet::after(Millis Delay, std::function<void()> Action) {
  Events_.push({Now_ + Delay, ++Order_, std::move(Action)});
}

void SyncFleet::start(std::size_t Index) {
  Instance &Node = *Instances_[Index];
  ++Node.Incarnation_;
  Node.Running_ = true;
  for (auto &Collection : Node.Followers_)
    Collection =
        std::make_unique<objects::Follower>(Setup_.Reading_, Random(Random_()));
  const std::string Domain = "d" + std::to_string(Index % Setup_.Domains_);
  Node.Reading_ = std::make_unique<peers::SharedReading>(
      endpoint(Index), DomainName(Domain),
      std::vector{endpoint(0), endpoint(1), endpoint(2)},
      peers::SharedReading::Followers{Node.Followers_[0].get(),
                                      Node.Followers_[1].get()},
      Setup_.Freshness_, Setup_.Fanout_, Random(Random_()));
  Node.Reading_->start(Now_);
  Node.Known_ = {};
  Node.NextChange_ = {Changes_.size(), Changes_.size()};
  Node.Pulling_ = {};
  Node.Inbox_.clear();
  Node.ReceiveScheduled_ = false;
  Node.DrainedAt_ = Now_;
  Node.PausedUntil_ = Node.BusyUntil_ = {};
  disturb(Node, Now_ + StableWindow);
  step(Node, 0);
  step(Node, 1);
  tick(Node);
}

void SyncFleet::dispatch(std::size_t Index, TimePoint At,
                         std::function<void(Instance &)> Action) {
  const std::uint64_t Incarnation = Instances_[Index]->Incarnation_;
  const Millis Wait(Random_() % (Setup_.MaxProcessorWait_.count() + 1));
  Events_.push({At + Wait, ++Order_,
                [this, Index, Incarnation, Action = std::move(Action)] {
                  Instance &Node = *Instances_[Index];
                  if (!Node.Running_ || Node.Incarnation_ != Incarnation)
                    return;
                  if (Now_ < Node.PausedUntil_)
                    return dispatch(Index, Node.PausedUntil_, Action);
                  Action(Node);
                }});
}

void SyncFleet::step(Instance &Node, std::size_t Collection) {
  const objects::FollowerStep Next = Node.Followers_[Collection]->next(Now_);
  if (const auto *Wait = std::get_if<objects::Pause>(&Next))
    return dispatch(Node.Index_, Wait->Until_,
                    [this, Collection](Instance &N) { step(N, Collection); });
  if (const auto *Watch = std::get_if<objects::WatchCall>(&Next))
    return send(Node, Collection, Watch->Revision_, false, Watch->Wait_);
  send(Node, Collection, 0, true, Millis(0));
}

void SyncFleet::send(Instance &Node, std::size_t Collection,
                     std::uint64_t Since, bool IsList, Millis Wait) {
  ++StoreCalls_;
  auto Pending = std::make_shared<Call>();
  *Pending = {Node.Index_, Node.Incarnation_, Collection, Since, Now_, false,
              false};
  after(Wait + Setup_.Reading_.CallTimeout_,
        [this, Pending, IsList] { finish(Pending, IsList, false, false, 0); });
  if (!reachesStore(Node))
    return;
  if (Now_ < Node.RefusedUntil_) {
    after(StoreAnswer, [this, Pending, IsList] {
      finish(Pending, IsList, false, false, 0);
    });
    return;
  }
  if (IsList || Since < lastChange(Collection)) {
    after(StoreAnswer, [this, Pending, IsList] { answer(Pending, IsList); });
    return;
  }
  Waiting_.insert(Pending);
  after(Wait + StoreAnswer, [this, Pending, IsList] {
    if (Waiting_.erase(Pending) == 1)
      answer(Pending, IsList);
  });
}

void SyncFleet::answer(const std::shared_ptr<Call> &Pending, bool IsList) {
  if (Pending->Silent_ || !reachesStore(*Instances_[Pending->Index_]))
    return;
  finish(Pending, IsList, true, !IsList && Pending->Since_ < HistoryStart_,
         Revision_);
}

void SyncFleet::finish(const std::shared_ptr<Call> &Pending, bool IsList,
                       bool Answered, bool Gone, std::uint64_t Revision) {
  if (std::exchange(Pending->Done_, true))
    return;
  Waiting_.erase(Pending);
  if (Instances_[Pending->Index_]->Incarnation_ != Pending->Incarnation_)
    return;
  dispatch(Pending->Index_, Now_,
           [this, Pending, IsList, Answered, Gone, Revision](Instance &Node) {
             const std::size_t Collection = Pending->Collection_;
             objects::Follower &Own = *Node.Followers_[Collection];
             if (!Answered) {
               Own.recordFailure(Now_);
             } else if (Gone) {
               Own.recordHistoryLoss(Now_);
             } else if (IsList ? Own.recordPage(false, "", Revision,
                                                Pending->Sent_, Now_)
                               : Own.recordChanges(
                                     lastChange(Collection) > Pending->Since_,
                                     Revision, Pending->Sent_, Now_)) {
               learn(Node, Collection, Revision);
             }
             perform(Node, Node.Reading_->spread(Now_));
             step(Node, Collection);
           });
}

void SyncFleet::tick(Instance &Node) {
  receive(Node);
  perform(Node, Node.Reading_->tick({}, Now_));
  dispatch(Node.Index_, Now_ + TickInterval, [this](Instance &N) { tick(N); });
}

void SyncFleet::receive(Instance &Node) {
  const TimePoint ArrivedAfter = Node.DrainedAt_;
  Node.ReceiveScheduled_ = false;
  while (!Node.Inbox_.empty()) {
    const peers::Announcement Message = std::move(Node.Inbox_.front());
    Node.Inbox_.pop_front();
    perform(Node, Node.Reading_->receive(Message, ArrivedAfter, Now_));
  }
  Node.DrainedAt_ = Now_;
}

void SyncFleet::perform(Instance &Node, const peers::SyncActions &Actions) {
  for (const peers::SendAnnouncement &Send : Actions.Sends_)
    for (const Endpoint Target : Send.Targets_) {
      const std::size_t To = Target.address().value() - 0x0a010000;
      ++Datagrams_;
      if (std::uniform_real_distribution<>(0, 1)(Random_) < Setup_.Loss_ ||
          !connected(Node, *Instances_[To]))
        continue;
      after(latency(), [this, To, Message = Send.Message_] {
        Instance &Receiver = *Instances_[To];
        if (!Receiver.Running_)
          return;
        Receiver.Inbox_.push_back(Message);
        if (!std::exchange(Receiver.ReceiveScheduled_, true))
          dispatch(To, Now_, [this](Instance &N) { receive(N); });
      });
    }
  for (const peers::PullChanges &Request : Actions.Pulls_)
    pull(Node, Request);
}

void SyncFleet::pull(Instance &Node, const peers::PullChanges &Request) {
  const std::size_t Collection = Request.Collection_;
  if (std::exchange(Node.Pulling_[Collection], true))
    return;
  ++Pulls_;
  auto Done = std::make_shared<bool>(false);
  const auto Finish =
      [this, Index = Node.Index_, Collection, Done, RequestedAt = Now_](
          std::optional<peers::CollectionState> Received, std::uint64_t Known) {
        if (std::exchange(*Done, true))
          return;
        dispatch(Index, Now_, [=, this](Instance &N) {
          N.Pulling_[Collection] = false;
          if (!Received ||
              !N.Reading_->adopt(Collection, *Received, RequestedAt, Now_))
            return;
          learn(N, Collection, Known);
          perform(N, N.Reading_->spread(Now_));
        });
      };
  after(PullTimeout, [Finish] { Finish(std::nullopt, 0); });
  const std::size_t Peer = Request.Peer_.address().value() - 0x0a010000;
  if (!connected(Node, *Instances_[Peer]) || !Instances_[Peer]->Running_)
    return;
  dispatch(Peer, Now_ + 2 * latency(), [=, this](Instance &Serving) {
    const auto State = Serving.Reading_->state(Collection, Now_);
    if (State)
      after(latency(),
            [=, Known = Serving.Known_[Collection]] { Finish(State, Known); });
  });
}

void SyncFleet::change(std::size_t Collection) {
  Changes_.push_back({++Revision_, Collection, Now_});
  std::vector<std::shared_ptr<Call>> Due;
  for (const auto &Pending : Waiting_)
    if (Pending->Collection_ == Collection)
      Due.push_back(Pending);
  for (const auto &Pending : Due) {
    Waiting_.erase(Pending);
    after(StoreAnswer, [this, Pending] { answer(Pending, false); });
  }
}

void SyncFleet::learn(Instance &Node, std::size_t Collection,
                      std::uint64_t Revision) {
  Node.Known_[Collection] = std::max(Node.Known_[Collection], Revision);
  std::size_t &Next = Node.NextChange_[Collection];
  for (; Next < Changes_.size() && Changes_[Next].Revision_ <= Revision; ++Next)
    if (Changes_[Next].Collection_ == Collection &&
        Changes_[Next].At_ >= Node.DisturbedUntil_)
      WorstDelay_ = std::max(WorstDelay_, std::chrono::duration_cast<Millis>(
                                              Now_ - Changes_[Next].At_));
}

void SyncFleet::disturb(Instance &Node, TimePoint Until) {
  // Changes that are on their way to a disturbed instance are not judged.
  Node.DisturbedUntil_ = std::max(Node.DisturbedUntil_, Until);
}

void SyncFleet::kill(std::size_t Index, Millis Downtime) {
  Instance &Node = *Instances_[Index];
  if (!Node.Running_)
    return;
  Node.Running_ = false;
  ++Node.Incarnation_;
  after(Downtime, [this, Index] { start(Index); });
}

void SyncFleet::pause(std::size_t Index, Millis Duration) {
  Instance &Node = *Instances_[Index];
  Node.PausedUntil_ = Now_ + Duration;
  disturb(Node, Node.PausedUntil_ + StableWindow);
}

void SyncFleet::cut(std::size_t Index, bool Store, bool Peers,
                    Millis Duration) {
  Instance &Node = *Instances_[Index];
  if (Store) {
    Node.StoreCutUntil_ = Now_ + Duration;
    disturb(Node, Node.StoreCutUntil_ + StableWindow);
    silenceCalls(Index);
  }
  if (Peers)
    Node.PeersCutUntil_ = Now_ + Duration;
}

void SyncFleet::silenceCalls(std::size_t Index) {
  std::erase_if(Waiting_, [Index](const auto &Pending) {
    return Pending->Index_ == Index;
  });
}

void SyncFleet::refuse(std::size_t Index, Millis Duration) {
  Instance &Node = *Instances_[Index];
  Node.RefusedUntil_ = Now_ + Duration;
  // Only peers can tell a refused instance, within their own bound.
  disturb(Node, Node.RefusedUntil_ + StableWindow);
}

Millis SyncFleet::worstDelay() const {
  Millis Worst = WorstDelay_;
  for (const auto &Node : Instances_)
    for (std::size_t Collection = 0; Collection < 2; ++Collection)
      for (std::size_t I = Node->NextChange_[Collection]; I < Changes_.size();
           ++I)
        if (Node->Running_ && Changes_[I].Collection_ == Collection &&
            Changes_[I].At_ >= Node->DisturbedUntil_)
          Worst = std::max(Worst, std::chrono::duration_cast<Millis>(
                                      Now_ - Changes_[I].At_));
  return Worst;
}

std::vector<std::size_t> SyncFleet::readers() const {
  std::vector<std::size_t> Found;
  for (const auto &Node : Instances_)
    if (Node->Running_ && Node->Reading_->reading(Now_))
      Found.push_back(Node->Index_);
  return Found;
}

bool SyncFleet::connected(const Instance &A, const Instance &B) const {
  return Now_ >= A.PeersCutUntil_ && Now_ >= B.PeersCutUntil_;
}

bool SyncFleet::reachesStore(const Instance &Node) const {
  return Now_ >= Node.StoreCutUntil_;
}

std::uint64_t SyncFleet::lastChange(std::size_t Collection) const {
  for (auto Last = Changes_.rbegin(); Last != Changes_.rend(); ++Last)
    if (Last->Collection_ == Collection)
      return Last->Revision_;
  return 0;
}

Millis SyncFleet::latency() {
  return Millis(1 + Random_() % MaxLatency.count());
}

} // namespace medlarmoor::harness
