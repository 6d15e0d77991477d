#include <request/cluster.hpp>

#include <algorithm>

namespace medlarmoor::test {

namespace {

using namespace medlarmoor::request;

const ServiceName Seal("seal");
constexpr Millis Lease{1000};
constexpr Millis Settle = Seconds(60);
constexpr Millis Deadline = Seconds(8);

EntryName nameOf(std::size_t At) {
  return EntryName("entry" + std::to_string(At));
}

std::vector<config::Upstream> upstreams() {
  std::vector<config::Upstream> Out(3);
  for (std::size_t I = 0; I < Out.size(); ++I)
    Out[I].Name_ = UpstreamName("u" + std::to_string(I));
  return Out;
}

} // namespace

struct Cluster::Node {
  Node(std::size_t At, Incarnation Run, const Clock &Time)
      : Run_(Run), Known_(1000, Time), Office_(nameOf(At), Lease, Time),
        Members_(nameOf(At), Settle, Time),
        Decides_({nameOf(At), Run}, {}, Known_, Office_, Members_,
                 upstream::SlotPool({}, Time, Random(At)), Time,
                 Random(Run.value())) {
    Decides_.slots().configure(upstreams());
  }

  Incarnation Run_;
  Ledger Known_;
  DispatcherRole Office_;
  Quorum Members_;
  Dispatcher Decides_;
  bool Paused_ = false;
  /// Which caller waits for a ticket.
  std::map<Ticket, std::size_t> Waits_;
};

Cluster::Cluster(std::size_t Entries) {
  for (std::size_t I = 0; I < Entries; ++I)
    Nodes_.push_back(nullptr);
  for (std::size_t I = 0; I < Entries; ++I)
    Nodes_[I] = makeNode(I);
  advance(Millis(200));
}

Cluster::~Cluster() = default;

std::unique_ptr<Cluster::Node> Cluster::makeNode(std::size_t At) {
  auto Out = std::make_unique<Node>(At, Incarnation(Runs_++), Clock(Clock_));
  std::vector<EntryName> Names;
  std::vector<membership::Member> Members;
  for (std::size_t I = 0; I < Nodes_.size(); ++I) {
    Names.push_back(nameOf(I));
    Members.push_back({nameOf(I), Ipv4(static_cast<std::uint32_t>(I))});
  }
  const auto View = std::make_shared<membership::View>(nameOf(At), Members);
  Out->Members_.onListed(Names);
  Out->Members_.onView(View);
  Out->Office_.onView(View);
  return Out;
}

std::size_t Cluster::indexOf(const EntryName &Name) const {
  return static_cast<std::size_t>(Name.value().back() - '0');
}

void Cluster::submitNew(std::size_t At) {
  const Clock Time(Clock_);
  Submission Asked;
  Asked.Service_ = Seal;
  Asked.Class_ = MethodClass::Once;
  Asked.Minted_ = Time.wallNow();
  Asked.Key_ = IdempotencyKey(
      "seeb-" + std::to_string(Asked.Minted_.time_since_epoch().count()) + "-" +
      std::to_string(Callers_.size()));
  Asked.Deadline_ = Time.now() + Deadline;
  Callers_.push_back({Asked, 0, {}});
  submit(At, Callers_.size() - 1);
}

void Cluster::submitAgain(std::size_t Key, std::size_t At) {
  Callers_[Key].Asked_.Deadline_ = Clock(Clock_).now() + Deadline;
  submit(At, Key);
}

void Cluster::submit(std::size_t At, std::size_t Key) {
  Messages_.push_back({At, false,
                       [this, At, Key] {
                         Node &To = *Nodes_[At];
                         const Ticket Of =
                             To.Decides_.submit(Callers_[Key].Asked_);
                         To.Waits_.emplace(Of, Key);
                         pump(At);
                       },
                       nullptr});
}

void Cluster::cancel(std::size_t Key, std::size_t At) {
  Messages_.push_back({At, false,
                       [this, At, Key] {
                         Node &To = *Nodes_[At];
                         const Ticket Of =
                             To.Decides_.refuse(Callers_[Key].Asked_, true);
                         To.Waits_.emplace(Of, Key);
                         pump(At);
                       },
                       nullptr});
}

void Cluster::pump(std::size_t At) {
  for (auto All = Nodes_[At]->Decides_.take(); !All.empty();
       All = Nodes_[At]->Decides_.take())
    for (const Action &Each : All) {
      if (const auto *Of = std::get_if<Send>(&Each))
        send(At, *Of);
      if (const auto *Of = std::get_if<Replicate>(&Each))
        replicate(At, *Of);
      if (const auto *Of = std::get_if<Announce>(&Each))
        announce(At, *Of);
      if (const auto *Of = std::get_if<Resolve>(&Each)) {
        const auto Waits = Nodes_[At]->Waits_.find(Of->Ticket_);
        if (Waits != Nodes_[At]->Waits_.end() && !Of->Verdict_.Moved_)
          ++Callers_[Waits->second].Told_[Of->Verdict_.Outcome_];
      }
    }
}

void Cluster::replicate(std::size_t At, const Replicate &Of) {
  struct Round {
    std::size_t Taken_ = 0;
    std::size_t Open_ = 0;
    bool Ended_ = false;
  };
  auto Shared = std::make_shared<Round>();
  const Incarnation Run = Nodes_[At]->Run_;
  const auto End = [this, At, Run, Of, Shared](ReplicaEnd How) {
    if (std::exchange(Shared->Ended_, true))
      return;
    if (Nodes_[At]->Run_ != Run)
      return;
    Nodes_[At]->Decides_.replicated(Of.Ticket_, How);
    pump(At);
  };
  const auto OnAnswer = [Shared, Of, End](std::optional<CopyAnswer> Answer) {
    --Shared->Open_;
    if (Answer == CopyAnswer::Held)
      return End(ReplicaEnd::Held);
    if (Answer == CopyAnswer::Taken && ++Shared->Taken_ >= Of.Needed_)
      return End(ReplicaEnd::Enough);
    if (Shared->Open_ == 0)
      End(ReplicaEnd::TooFew);
  };
  Shared->Open_ = Of.To_.size();
  if (Of.To_.empty())
    End(ReplicaEnd::TooFew);
  for (const membership::Member &Each : Of.To_) {
    const std::size_t To = indexOf(Each.Name_);
    const auto Lost = [this, At, OnAnswer] {
      Messages_.push_back({At, false, [OnAnswer] { OnAnswer({}); }, nullptr});
    };
    const auto Arrives = [this, At, To, Of, OnAnswer] {
      Node &Holder = *Nodes_[To];
      const CopyAnswer Answer = Holder.Members_.isMember(nameOf(At))
                                    ? Holder.Known_.take(Of.Copy_)
                                    : CopyAnswer::Refused;
      Messages_.push_back({At, false, [OnAnswer, Answer] { OnAnswer(Answer); },
                           [OnAnswer] { OnAnswer({}); }});
    };
    Messages_.push_back({To, false, Arrives, Lost});
  }
}

void Cluster::announce(std::size_t At, const Announce &Of) {
  for (const membership::Member &Each : Of.To_) {
    const std::size_t To = indexOf(Each.Name_);
    Messages_.push_back({To, false,
                         [this, At, To, Of] {
                           Node &Holder = *Nodes_[To];
                           if (Holder.Members_.isMember(nameOf(At)))
                             std::ignore = Holder.Known_.take(Of.Copy_);
                         },
                         nullptr});
  }
}

void Cluster::send(std::size_t At, const Send &Of) {
  const Incarnation Run = Nodes_[At]->Run_;
  const auto End = [this, At, Run, Of](upstream::AttemptEnd How) {
    if (Nodes_[At]->Run_ != Run)
      return;
    Nodes_[At]->Decides_.answered(Of.Ticket_, How, Millis(10));
    pump(At);
  };
  const auto Waits = Nodes_[At]->Waits_.find(Of.Ticket_);
  const std::size_t Key = Waits->second;
  const auto Arrives = [this, At, Key, End] {
    ++Callers_[Key].Runs_;
    Messages_.push_back({At, false, [End] { End(upstream::AttemptEnd::Whole); },
                         [End] { End(upstream::AttemptEnd::Failed); }});
  };
  // A lost attempt is a refused connection every second time; else the bytes
  // were lost on the way, which its sender cannot tell from a lost answer.
  const bool Refused = Key % 2 == 0;
  const auto Lost = [this, At, End, Refused] {
    Messages_.push_back({At, false,
                         [End, Refused] {
                           End(Refused ? upstream::AttemptEnd::NotConnected
                                       : upstream::AttemptEnd::Failed);
                         },
                         nullptr});
  };
  Messages_.push_back({At, true, Arrives, Lost});
}

void Cluster::deliver(std::size_t At) {
  if (!Messages_[At].ToUpstream_ && Nodes_[Messages_[At].To_]->Paused_)
    return;
  const Message Of = std::move(Messages_[At]);
  Messages_.erase(Messages_.begin() + static_cast<long>(At));
  Of.Arrives_();
}

void Cluster::drop(std::size_t At) {
  const bool Paused = Nodes_[Messages_[At].To_]->Paused_;
  if (Paused && !Messages_[At].ToUpstream_ && Messages_[At].Lost_)
    return;
  const Message Of = std::move(Messages_[At]);
  Messages_.erase(Messages_.begin() + static_cast<long>(At));
  if (Of.Lost_)
    Of.Lost_();
}

void Cluster::restart(std::size_t At) { Nodes_[At] = makeNode(At); }

void Cluster::pause(std::size_t At) { Nodes_[At]->Paused_ = true; }

void Cluster::wake(std::size_t At) { Nodes_[At]->Paused_ = false; }

void Cluster::setView(std::size_t At, std::uint32_t Bits) {
  if (Nodes_[At]->Paused_)
    return;
  std::vector<membership::Member> Members;
  for (std::size_t I = 0; I < Nodes_.size(); ++I)
    if (I == At || (Bits >> I) % 2 == 1)
      Members.push_back({nameOf(I), Ipv4(static_cast<std::uint32_t>(I))});
  const auto View = std::make_shared<membership::View>(nameOf(At), Members);
  Nodes_[At]->Members_.onView(View);
  Nodes_[At]->Office_.onView(View);
  if (!Nodes_[At]->Office_.isDispatcher(Seal))
    Nodes_[At]->Decides_.moveOn();
  pump(At);
}

void Cluster::handOff(std::size_t At, std::size_t Next) {
  Node &From = *Nodes_[At];
  if (From.Paused_ || From.Office_.isDispatcher(Seal))
    return;
  const auto Copies = From.Known_.copies(Seal);
  const WallTime Since = From.Known_.since();
  Messages_.push_back({Next, false,
                       [this, Next, Copies, Since] {
                         for (const LedgerCopy &Each : Copies)
                           Nodes_[Next]->Known_.adopt(Each);
                         Nodes_[Next]->Office_.onHandover(Seal, Since);
                       },
                       nullptr});
}

void Cluster::advance(Millis Step) {
  Clock_->advance(Step);
  for (std::size_t I = 0; I < Nodes_.size(); ++I) {
    if (Nodes_[I]->Paused_)
      continue;
    Nodes_[I]->Members_.tick();
    Nodes_[I]->Known_.expire();
    Nodes_[I]->Decides_.tick();
    pump(I);
  }
}

int Cluster::doubleRuns() const {
  return static_cast<int>(
      std::count_if(Callers_.begin(), Callers_.end(),
                    [](const Caller &Each) { return Each.Runs_ > 1; }));
}

int Cluster::falseNotRun() const {
  return static_cast<int>(
      std::count_if(Callers_.begin(), Callers_.end(), [](const Caller &Each) {
        return Each.Runs_ > 0 && Each.Told_.contains(Outcome::NotRun);
      }));
}

int Cluster::runs() const {
  int Sum = 0;
  for (const Caller &Each : Callers_)
    Sum += Each.Runs_;
  return Sum;
}

int Cluster::callersWith(Outcome Of) const {
  return static_cast<int>(
      std::count_if(Callers_.begin(), Callers_.end(), [Of](const Caller &Each) {
        return Each.Told_.contains(Of);
      }));
}

} // namespace medlarmoor::test
