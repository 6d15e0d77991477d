#include <request/cluster.hpp>

#include <algorithm>

namespace medlarmoor::test {

namespace {

using namespace medlarmoor::request;

const ServiceName Seal("seal");
constexpr Millis Lease{1000};
constexpr Millis QuorumSettleTime = Seconds(60);
constexpr Millis Deadline = Seconds(8);

EntryName nameOf(std::size_t Entry) {
  return EntryName("entry" + std::to_string(Entry));
}

std::vector<config::Upstream> upstreams() {
  std::vector<config::Upstream> Upstreams(3);
  for (std::size_t I = 0; I < Upstreams.size(); ++I)
    Upstreams[I].Name_ = UpstreamName("u" + std::to_string(I));
  return Upstreams;
}

} // namespace

struct Cluster::Node {
  Node(std::size_t Entry, Incarnation Run, const Clock &Time)
      : Run_(Run), Ledger_(1000, Time), Role_(nameOf(Entry), Lease, Time),
        Quorum_(nameOf(Entry), QuorumSettleTime, Time),
        Dispatcher_({nameOf(Entry), Run}, {}, Ledger_, Role_, Quorum_,
                    upstream::SlotPool({}, Time, Random(Entry)), Time,
                    Random(Run.value())) {
    Dispatcher_.slotPool().configure(upstreams());
  }

  Incarnation Run_;
  Ledger Ledger_;
  DispatcherRole Role_;
  Quorum Quorum_;
  Dispatcher Dispatcher_;
  bool Paused_ = false;
  /// Index of the caller that waits for a ticket.
  std::map<Ticket, std::size_t> CallerByTicket_;
};

Cluster::Cluster(std::size_t Entries) {
  for (std::size_t I = 0; I < Entries; ++I)
    Nodes_.push_back(nullptr);
  for (std::size_t I = 0; I < Entries; ++I)
    Nodes_[I] = makeNode(I);
  advance(Millis(200));
}

Cluster::~Cluster() = default;

std::unique_ptr<Cluster::Node> Cluster::makeNode(std::size_t Entry) {
  auto Created = std::make_unique<Node>(Entry, Incarnation(NextIncarnation_++),
                                        Clock(Clock_));
  std::vector<EntryName> Names;
  std::vector<membership::Member> Members;
  for (std::size_t I = 0; I < Nodes_.size(); ++I) {
    Names.push_back(nameOf(I));
    Members.push_back({nameOf(I), Ipv4(static_cast<std::uint32_t>(I))});
  }
  const auto View = std::make_shared<membership::View>(nameOf(Entry), Members);
  Created->Quorum_.onPlatformList(Names);
  Created->Quorum_.onView(View);
  Created->Role_.onView(View);
  return Created;
}

std::size_t Cluster::indexOf(const EntryName &Name) const {
  return static_cast<std::size_t>(Name.value().back() - '0');
}

void Cluster::submitNew(std::size_t Entry) {
  const Clock Time(Clock_);
  Submission Submitted;
  Submitted.Service_ = Seal;
  Submitted.Class_ = MethodClass::Once;
  Submitted.Minted_ = Time.wallNow();
  Submitted.Key_ = IdempotencyKey(
      "seeb-" + std::to_string(Submitted.Minted_.time_since_epoch().count()) +
      "-" + std::to_string(Callers_.size()));
  Submitted.Deadline_ = Time.now() + Deadline;
  Callers_.push_back({Submitted, 0, {}});
  submit(Entry, Callers_.size() - 1);
}

void Cluster::submitAgain(std::size_t Key, std::size_t Entry) {
  Callers_[Key].Submission_.Deadline_ = Clock(Clock_).now() + Deadline;
  submit(Entry, Key);
}

void Cluster::submit(std::size_t Entry, std::size_t Key) {
  Messages_.push_back({Entry, false,
                       [this, Entry, Key] {
                         Node &Receiver = *Nodes_[Entry];
                         const Ticket Id = Receiver.Dispatcher_.submit(
                             Callers_[Key].Submission_);
                         Receiver.CallerByTicket_.emplace(Id, Key);
                         runActions(Entry);
                       },
                       nullptr});
}

void Cluster::cancel(std::size_t Key, std::size_t Entry) {
  Messages_.push_back({Entry, false,
                       [this, Entry, Key] {
                         Node &Receiver = *Nodes_[Entry];
                         const Ticket Id = Receiver.Dispatcher_.refuse(
                             Callers_[Key].Submission_, true);
                         Receiver.CallerByTicket_.emplace(Id, Key);
                         runActions(Entry);
                       },
                       nullptr});
}

void Cluster::runActions(std::size_t Entry) {
  for (auto Decided = Nodes_[Entry]->Dispatcher_.takeActions();
       !Decided.empty(); Decided = Nodes_[Entry]->Dispatcher_.takeActions())
    for (const Action &Next : Decided) {
      if (const auto *Task = std::get_if<Send>(&Next))
        send(Entry, *Task);
      if (const auto *Task = std::get_if<Replicate>(&Next))
        replicate(Entry, *Task);
      if (const auto *Task = std::get_if<Announce>(&Next))
        announce(Entry, *Task);
      if (const auto *Task = std::get_if<Resolve>(&Next)) {
        const auto Waiting = Nodes_[Entry]->CallerByTicket_.find(Task->Ticket_);
        if (Waiting != Nodes_[Entry]->CallerByTicket_.end() &&
            !Task->Verdict_.NotDispatcher_)
          ++Callers_[Waiting->second].Outcomes_[Task->Verdict_.Outcome_];
      }
    }
}

void Cluster::replicate(std::size_t Entry, const Replicate &Task) {
  struct Replication {
    std::size_t Accepted_ = 0;
    std::size_t InFlight_ = 0;
    bool Ended_ = false;
  };
  auto Current = std::make_shared<Replication>();
  const Incarnation Run = Nodes_[Entry]->Run_;
  const auto Complete = [this, Entry, Run, Task,
                         Current](ReplicationResult End) {
    if (std::exchange(Current->Ended_, true))
      return;
    if (Nodes_[Entry]->Run_ != Run)
      return;
    Nodes_[Entry]->Dispatcher_.onReplicationEnd(Task.Ticket_, End);
    runActions(Entry);
  };
  const auto OnAnswer = [Current, Task,
                         Complete](std::optional<ReplicaAnswer> Answer) {
    --Current->InFlight_;
    if (Answer == ReplicaAnswer::HeldElsewhere)
      return Complete(ReplicationResult::HeldElsewhere);
    if (Answer == ReplicaAnswer::Stored &&
        ++Current->Accepted_ >= Task.NeededReplicas_)
      return Complete(ReplicationResult::Replicated);
    if (Current->InFlight_ == 0)
      Complete(ReplicationResult::TooFewReplicas);
  };
  Current->InFlight_ = Task.Targets_.size();
  if (Task.Targets_.empty())
    Complete(ReplicationResult::TooFewReplicas);
  for (const membership::Member &Peer : Task.Targets_) {
    const std::size_t Receiver = indexOf(Peer.Name_);
    const auto OnDropped = [this, Entry, OnAnswer] {
      Messages_.push_back(
          {Entry, false, [OnAnswer] { OnAnswer({}); }, nullptr});
    };
    const auto OnDelivered = [this, Entry, Receiver, Task, OnAnswer] {
      Node &Holder = *Nodes_[Receiver];
      const ReplicaAnswer Answer =
          Holder.Quorum_.isMember(nameOf(Entry))
              ? Holder.Ledger_.storeReplica(Task.Replica_)
              : ReplicaAnswer::Refused;
      Messages_.push_back({Entry, false,
                           [OnAnswer, Answer] { OnAnswer(Answer); },
                           [OnAnswer] { OnAnswer({}); }});
    };
    Messages_.push_back({Receiver, false, OnDelivered, OnDropped});
  }
}

void Cluster::announce(std::size_t Entry, const Announce &Task) {
  for (const membership::Member &Peer : Task.Targets_) {
    const std::size_t Receiver = indexOf(Peer.Name_);
    Messages_.push_back({Receiver, false,
                         [this, Entry, Receiver, Task] {
                           Node &Holder = *Nodes_[Receiver];
                           if (Holder.Quorum_.isMember(nameOf(Entry)))
                             std::ignore =
                                 Holder.Ledger_.storeReplica(Task.Replica_);
                         },
                         nullptr});
  }
}

void Cluster::send(std::size_t Entry, const Send &Task) {
  const Incarnation Run = Nodes_[Entry]->Run_;
  const auto Complete = [this, Entry, Run, Task](upstream::AttemptResult End) {
    if (Nodes_[Entry]->Run_ != Run)
      return;
    Nodes_[Entry]->Dispatcher_.onAttemptEnd(Task.Ticket_, End, Millis(10));
    runActions(Entry);
  };
  const auto Waiting = Nodes_[Entry]->CallerByTicket_.find(Task.Ticket_);
  const std::size_t Key = Waiting->second;
  const auto OnDelivered = [this, Entry, Key, Complete] {
    ++Callers_[Key].Runs_;
    Messages_.push_back(
        {Entry, false,
         [Complete] { Complete(upstream::AttemptResult::Complete); },
         [Complete] { Complete(upstream::AttemptResult::Failed); }});
  };
  // For every second key, a dropped attempt is a refused connection. For the
  // others the request is lost in transit, which its sender cannot distinguish
  // from a lost answer.
  const bool Refused = Key % 2 == 0;
  const auto OnDropped = [this, Entry, Complete, Refused] {
    Messages_.push_back({Entry, false,
                         [Complete, Refused] {
                           Complete(Refused
                                        ? upstream::AttemptResult::NotConnected
                                        : upstream::AttemptResult::Failed);
                         },
                         nullptr});
  };
  Messages_.push_back({Entry, true, OnDelivered, OnDropped});
}

void Cluster::deliver(std::size_t Index) {
  if (!Messages_[Index].ToUpstream_ &&
      Nodes_[Messages_[Index].Receiver_]->Paused_)
    return;
  const Message Delivered = std::move(Messages_[Index]);
  Messages_.erase(Messages_.begin() + static_cast<long>(Index));
  Delivered.OnDelivered_();
}

void Cluster::drop(std::size_t Index) {
  const bool Paused = Nodes_[Messages_[Index].Receiver_]->Paused_;
  if (Paused && !Messages_[Index].ToUpstream_ && Messages_[Index].OnDropped_)
    return;
  const Message Dropped = std::move(Messages_[Index]);
  Messages_.erase(Messages_.begin() + static_cast<long>(Index));
  if (Dropped.OnDropped_)
    Dropped.OnDropped_();
}

void Cluster::restart(std::size_t Entry) { Nodes_[Entry] = makeNode(Entry); }

void Cluster::pause(std::size_t Entry) { Nodes_[Entry]->Paused_ = true; }

void Cluster::wake(std::size_t Entry) { Nodes_[Entry]->Paused_ = false; }

void Cluster::setView(std::size_t Entry, std::uint32_t Members) {
  if (Nodes_[Entry]->Paused_)
    return;
  std::vector<membership::Member> Listed;
  for (std::size_t I = 0; I < Nodes_.size(); ++I)
    if (I == Entry || (Members >> I) % 2 == 1)
      Listed.push_back({nameOf(I), Ipv4(static_cast<std::uint32_t>(I))});
  const auto View = std::make_shared<membership::View>(nameOf(Entry), Listed);
  Nodes_[Entry]->Quorum_.onView(View);
  Nodes_[Entry]->Role_.onView(View);
  if (!Nodes_[Entry]->Role_.isDispatcher(Seal))
    Nodes_[Entry]->Dispatcher_.redirectWaiting();
  runActions(Entry);
}

void Cluster::handOff(std::size_t Entry, std::size_t Successor) {
  Node &Sender = *Nodes_[Entry];
  if (Sender.Paused_ || Sender.Role_.isDispatcher(Seal))
    return;
  const auto Records = Sender.Ledger_.replicasForHandoff(Seal);
  const WallTime CompleteSince = Sender.Ledger_.completeSince();
  Messages_.push_back({Successor, false,
                       [this, Successor, Records, CompleteSince] {
                         for (const RecordReplica &Received : Records)
                           Nodes_[Successor]->Ledger_.adopt(Received);
                         Nodes_[Successor]->Role_.onHandoff(Seal,
                                                            CompleteSince);
                       },
                       nullptr});
}

void Cluster::advance(Millis Step) {
  Clock_->advance(Step);
  for (std::size_t I = 0; I < Nodes_.size(); ++I) {
    if (Nodes_[I]->Paused_)
      continue;
    Nodes_[I]->Quorum_.tick();
    Nodes_[I]->Ledger_.expire();
    Nodes_[I]->Dispatcher_.tick();
    runActions(I);
  }
}

int Cluster::doubleRuns() const {
  return static_cast<int>(
      std::count_if(Callers_.begin(), Callers_.end(),
                    [](const Caller &Owner) { return Owner.Runs_ > 1; }));
}

int Cluster::falseNotRun() const {
  return static_cast<int>(
      std::count_if(Callers_.begin(), Callers_.end(), [](const Caller &Owner) {
        return Owner.Runs_ > 0 && Owner.Outcomes_.contains(Outcome::NotRun);
      }));
}

int Cluster::runs() const {
  int Sum = 0;
  for (const Caller &Owner : Callers_)
    Sum += Owner.Runs_;
  return Sum;
}

int Cluster::callersWith(Outcome Result) const {
  return static_cast<int>(std::count_if(
      Callers_.begin(), Callers_.end(), [Result](const Caller &Owner) {
        return Owner.Outcomes_.contains(Result);
      }));
}

} // namespace medlarmoor::test
