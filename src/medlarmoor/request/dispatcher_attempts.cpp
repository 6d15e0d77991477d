#include <medlarmoor/core/hash.hpp>
#include <medlarmoor/request/dispatcher.hpp>

#include <algorithm>

namespace medlarmoor::request {

namespace {

using upstream::AttemptEnd;

/// How long replication of a refusal may take.
constexpr Millis RefusalTime{500};
/// How long one try at replication may take.
constexpr Millis ReplicationTime{500};
constexpr Millis ReplicationPause{50};
constexpr Millis LeastRetryPause{5};
constexpr Millis LongestRetryPause{50};

Verdict unknown(std::string Reason, bool Retry) {
  return {Outcome::Unknown, std::move(Reason), Retry, nullptr, false};
}

} // namespace

void Dispatcher::startNext() {
  Office_.check();
  const TimePoint Now = Time_.now();
  std::size_t Next = 0;
  while (Next < Queue_.size()) {
    Job &Each = Jobs_.at(Queue_[Next]);
    if (!Office_.isDispatcher(Each.Asked_.Service_))
      return;
    const bool Once = Each.Asked_.Class_ == MethodClass::Once;
    if (Each.NotBefore_ > Now || (Once && !Members_.holds())) {
      ++Next;
      continue;
    }
    if (!start(Each))
      return;
  }
}

bool Dispatcher::start(Job &Each) {
  const Nanos Left = Each.Asked_.Deadline_ - Time_.now();
  if (Left < Slots_.typicalTime() / 2) {
    refuse(Each, "would_expire");
    return true;
  }
  Each.At_ = Slots_.acquire();
  if (!Each.At_)
    return false;
  std::erase(Queue_, Each.Asked_.Key_);
  const bool Once = Each.Asked_.Class_ == MethodClass::Once;
  if (!Once || Each.Replicated_ || Members_.copiesNeeded() == 0) {
    send(Each);
    return true;
  }
  Each.Stage_ = Stage::Replicating;
  replicate(Each, KeyState::Dispatched,
            std::min(Each.Asked_.Deadline_, Time_.now() + ReplicationTime));
  return true;
}

void Dispatcher::replicate(Job &Each, KeyState State, TimePoint Deadline) {
  LedgerCopy Copy;
  Copy.Key_ = Each.Asked_.Key_;
  Copy.Service_ = Each.Asked_.Service_;
  Copy.State_ = State;
  Copy.Dispatcher_ = Self_.Name_;
  Copy.Run_ = Self_.Run_;
  Copy.Try_ = Each.Asked_.Try_;
  Copy.Minted_ = Each.Asked_.Minted_;
  Copy.KeepFor_ = std::chrono::ceil<Millis>(Each.Asked_.Deadline_ +
                                            Limits_.Horizon_ - Time_.now());
  Copy.Reason_ = Each.Refusal_;
  Actions_.emplace_back(
      Replicate{Each.Own_, std::move(Copy),
                Members_.holders(homeKey(Each.Asked_.Service_)),
                Members_.copiesNeeded(), Deadline});
}

void Dispatcher::send(Job &Each) {
  Each.Stage_ = Stage::Running;
  ++Each.Attempts_;
  Each.Attempt_ = AttemptId(
      Self_.Name_.value() + "." + std::to_string(Self_.Run_.value()) + "." +
      Each.Asked_.Service_.value() + "." + std::to_string(NextAttempt_++));
  record(Each, KeyState::Dispatched, {});
  const bool Fresh =
      Each.Asked_.Class_ == MethodClass::Once || Each.Attempts_ > 1;
  Actions_.emplace_back(
      Send{Each.Own_, *Each.At_, Each.Attempt_, Each.Asked_.Deadline_, Fresh});
}

void Dispatcher::replicated(Ticket Of, ReplicaEnd End) {
  Office_.check();
  const auto At = std::find_if(Jobs_.begin(), Jobs_.end(), [Of](auto &Each) {
    return Each.second.Own_ == Of;
  });
  if (At == Jobs_.end())
    return;
  Job &Each = At->second;
  if (Each.Stage_ == Stage::Refusing)
    return onRefusalStored(Each, End);
  if (Each.Stage_ != Stage::Replicating)
    return;
  Each.Replicated_ = true;
  if (End == ReplicaEnd::Held) {
    freeSlot(Each, AttemptEnd::Abandoned, Nanos(0));
    return finish(Each, KeyState::Unknown, unknown("held_elsewhere", false));
  }
  const bool Wanted = !Each.CancelAsked_ && !Each.Callers_.empty();
  const bool MaySend = Office_.isDispatcher(Each.Asked_.Service_) &&
                       Time_.now() < Each.Asked_.Deadline_;
  if (End == ReplicaEnd::Enough && Wanted && MaySend)
    return send(Each);
  freeSlot(Each, AttemptEnd::Abandoned, Nanos(0));
  if (!Wanted || !MaySend)
    return refuse(Each, Wanted              ? "too_late_to_send"
                        : Each.CancelAsked_ ? "cancelled"
                                            : "caller_left");
  Each.Replicated_ = false;
  requeue(Each, ReplicationPause);
  startNext();
}

void Dispatcher::requeue(Job &Each, Millis Pause) {
  Each.Stage_ = Stage::Waiting;
  Each.NotBefore_ = Time_.now() + Pause;
  record(Each, KeyState::Accepted, {});
  Queue_.push_front(Each.Asked_.Key_);
}

void Dispatcher::freeSlot(Job &Each, AttemptEnd End, Nanos Elapsed) {
  if (Each.At_)
    Slots_.release(Each.At_->Name_, End, Elapsed);
  Each.At_.reset();
}

bool Dispatcher::mayRetry(const Job &Each, AttemptEnd End) {
  const bool Possible =
      End != AttemptEnd::Abandoned && !Each.Callers_.empty() &&
      !Each.CancelAsked_ && Each.Attempts_ < Limits_.Attempts_ &&
      Each.Asked_.Deadline_ - Time_.now() > Slots_.typicalTime();
  if (!Possible)
    return false;
  // Nothing ran, and the upstream is left alone for its back-off time, which
  // bounds these retries whatever the share of successes is.
  if (End == AttemptEnd::Shed || End == AttemptEnd::NotConnected)
    return true;
  return Each.Asked_.Class_ == MethodClass::Idempotent && Budget_.spend();
}

void Dispatcher::answered(Ticket Of, AttemptEnd End, Nanos Elapsed,
                          std::shared_ptr<const KeptAnswer> Answer) {
  const auto At = std::find_if(Jobs_.begin(), Jobs_.end(), [Of](auto &Each) {
    return Each.second.Own_ == Of;
  });
  if (At == Jobs_.end() || At->second.Stage_ != Stage::Running)
    return;
  Job &Each = At->second;
  freeSlot(Each, End, Elapsed);
  if (End == AttemptEnd::Whole) {
    Budget_.onSuccess();
    const char *Note = Answer ? "" : "answer_not_kept";
    finish(Each, KeyState::Done,
           {Outcome::Done, Note, false, std::move(Answer), false});
    return startNext();
  }
  if (End == AttemptEnd::Failed || End == AttemptEnd::Abandoned)
    Each.MayHaveRun_ = true;
  if (mayRetry(Each, End)) {
    std::uniform_int_distribution<std::int64_t> Jitter(
        LeastRetryPause.count(), LongestRetryPause.count());
    requeue(Each, Millis(Jitter(Source_)));
  } else if (Each.MayHaveRun_) {
    const bool Idempotent = Each.Asked_.Class_ == MethodClass::Idempotent;
    finish(Each, KeyState::Unknown, unknown("no_whole_answer", Idempotent));
  } else {
    refuse(Each, End == AttemptEnd::Shed ? "shed_by_upstream"
                                         : "upstream_unreachable");
  }
  startNext();
}

void Dispatcher::refuse(Job &Each, std::string Why) {
  std::erase(Queue_, Each.Asked_.Key_);
  Each.Refusal_ = std::move(Why);
  if (Each.MayHaveRun_)
    return finish(Each, KeyState::Unknown, unknown(Each.Refusal_, true));
  const bool Alone = Each.Asked_.Class_ == MethodClass::Idempotent ||
                     Members_.copiesNeeded() == 0;
  if (Alone)
    return onRefusalStored(Each, ReplicaEnd::Enough);
  Each.Stage_ = Stage::Refusing;
  replicate(Each, KeyState::NotRun, Time_.now() + RefusalTime);
}

void Dispatcher::onRefusalStored(Job &Each, ReplicaEnd End) {
  if (End == ReplicaEnd::Held)
    return finish(Each, KeyState::Unknown, unknown("held_elsewhere", false));
  if (End == ReplicaEnd::TooFew)
    return finish(Each, KeyState::Unknown,
                  unknown("no_majority_of_entries", true));
  finish(Each, KeyState::NotRun,
         {Outcome::NotRun, Each.Refusal_, true, nullptr, false});
}

void Dispatcher::finish(Job &Each, KeyState State, Verdict Of) {
  const IdempotencyKey Key = Each.Asked_.Key_;
  const bool Recorded = record(Each, State, Of.Reason_, Of.Answer_);
  if (!Recorded && Of.Outcome_ == Outcome::NotRun)
    Of = unknown("ledger_full", true);
  const bool Shared = Recorded && Each.Asked_.Class_ == MethodClass::Once &&
                      Members_.copiesNeeded() > 0 && State != KeyState::NotRun;
  if (Shared)
    Actions_.emplace_back(
        Announce{Known_.copyOf(Key, *Known_.find(Key)),
                 Members_.holders(homeKey(Each.Asked_.Service_))});
  for (const Ticket Caller : Each.Callers_) {
    Actions_.emplace_back(Resolve{Caller, Of});
    Tickets_.erase(Caller);
  }
  if (std::ranges::find(Each.Callers_, Each.Own_) == Each.Callers_.end())
    Actions_.emplace_back(Resolve{Each.Own_, Of});
  Jobs_.erase(Key);
}

} // namespace medlarmoor::request
