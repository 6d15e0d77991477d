#include <medlarmoor/core/hash.hpp>
#include <medlarmoor/request/dispatcher.hpp>

#include <algorithm>

namespace medlarmoor::request {

namespace {

using upstream::AttemptResult;

/// Time limit for replicating a refusal.
constexpr Millis RefusalReplicationTimeout{500};
/// Time limit for one replication attempt of a record.
constexpr Millis ReplicationTimeout{500};
constexpr Millis ReplicationRetryDelay{50};
constexpr Millis MinRetryDelay{5};
constexpr Millis MaxRetryDelay{50};

Verdict unknown(std::string Reason, bool Retryable) {
  return {Outcome::Unknown, std::move(Reason), Retryable, nullptr, false};
}

} // namespace

void Dispatcher::startNext() {
  Role_.checkClock();
  const TimePoint Now = Time_.now();
  std::size_t Position = 0;
  while (Position < Queue_.size()) {
    Job &Current = Jobs_.at(Queue_[Position]);
    if (!Role_.isDispatcher(Current.Submission_.Service_))
      return;
    const bool Once = Current.Submission_.Class_ == MethodClass::Once;
    if (Current.NotBefore_ > Now || (Once && !Quorum_.hasMajority())) {
      ++Position;
      continue;
    }
    if (!start(Current))
      return;
  }
}

bool Dispatcher::start(Job &Current) {
  const Nanos Remaining = Current.Submission_.Deadline_ - Time_.now();
  if (Remaining < Slots_.medianServiceTime() / 2) {
    refuse(Current, "would_expire");
    return true;
  }
  Current.Slot_ = Slots_.acquire();
  if (!Current.Slot_)
    return false;
  std::erase(Queue_, Current.Submission_.Key_);
  const bool Once = Current.Submission_.Class_ == MethodClass::Once;
  if (!Once || Current.Replicated_ || Quorum_.replicasNeeded() == 0) {
    send(Current);
    return true;
  }
  Current.Stage_ = Stage::Replicating;
  replicate(Current, KeyState::Dispatched,
            std::min(Current.Submission_.Deadline_,
                     Time_.now() + ReplicationTimeout));
  return true;
}

void Dispatcher::replicate(Job &Current, KeyState State, TimePoint Deadline) {
  RecordReplica Replica;
  Replica.Key_ = Current.Submission_.Key_;
  Replica.Service_ = Current.Submission_.Service_;
  Replica.State_ = State;
  Replica.Dispatcher_ = Self_.Name_;
  Replica.Incarnation_ = Self_.Incarnation_;
  Replica.Try_ = Current.Submission_.Try_;
  Replica.Minted_ = Current.Submission_.Minted_;
  Replica.TimeToLive_ = std::chrono::ceil<Millis>(
      Current.Submission_.Deadline_ + Limits_.Horizon_ - Time_.now());
  Replica.Reason_ = Current.RefusalReason_;
  Actions_.emplace_back(
      Replicate{Current.ActionTicket_, std::move(Replica),
                Quorum_.replicaTargets(homeKey(Current.Submission_.Service_)),
                Quorum_.replicasNeeded(), Deadline});
}

void Dispatcher::send(Job &Current) {
  Current.Stage_ = Stage::Running;
  ++Current.Attempts_;
  Current.Attempt_ = AttemptId(Self_.Name_.value() + "." +
                               std::to_string(Self_.Incarnation_.value()) +
                               "." + Current.Submission_.Service_.value() +
                               "." + std::to_string(NextAttempt_++));
  writeRecord(Current, KeyState::Dispatched, {});
  const bool Fresh =
      Current.Submission_.Class_ == MethodClass::Once || Current.Attempts_ > 1;
  Actions_.emplace_back(Send{Current.ActionTicket_, *Current.Slot_,
                             Current.Attempt_, Current.Submission_.Deadline_,
                             Fresh});
}

void Dispatcher::onReplicationEnd(Ticket Id, ReplicationResult End) {
  Role_.checkClock();
  const auto Found =
      std::find_if(Jobs_.begin(), Jobs_.end(), [Id](auto &Candidate) {
        return Candidate.second.ActionTicket_ == Id;
      });
  if (Found == Jobs_.end())
    return;
  Job &Current = Found->second;
  if (Current.Stage_ == Stage::Refusing)
    return onRefusalReplicated(Current, End);
  if (Current.Stage_ != Stage::Replicating)
    return;
  Current.Replicated_ = true;
  if (End == ReplicationResult::HeldElsewhere) {
    releaseSlot(Current, AttemptResult::Abandoned, Nanos(0));
    return finish(Current, KeyState::Unknown, unknown("held_elsewhere", false));
  }
  const bool StillWanted =
      !Current.CancelRequested_ && !Current.Callers_.empty();
  const bool MaySend = Role_.isDispatcher(Current.Submission_.Service_) &&
                       Time_.now() < Current.Submission_.Deadline_;
  if (End == ReplicationResult::Replicated && StillWanted && MaySend)
    return send(Current);
  releaseSlot(Current, AttemptResult::Abandoned, Nanos(0));
  if (!StillWanted || !MaySend)
    return refuse(Current, StillWanted                ? "too_late_to_send"
                           : Current.CancelRequested_ ? "cancelled"
                                                      : "caller_left");
  Current.Replicated_ = false;
  requeue(Current, ReplicationRetryDelay);
  startNext();
}

void Dispatcher::requeue(Job &Current, Millis Delay) {
  Current.Stage_ = Stage::Waiting;
  Current.NotBefore_ = Time_.now() + Delay;
  writeRecord(Current, KeyState::Accepted, {});
  Queue_.push_front(Current.Submission_.Key_);
}

void Dispatcher::releaseSlot(Job &Current, AttemptResult End, Nanos Elapsed) {
  if (Current.Slot_)
    Slots_.release(Current.Slot_->Name_, End, Elapsed);
  Current.Slot_.reset();
}

bool Dispatcher::mayRetry(const Job &Current, AttemptResult End) {
  const bool RetryAllowed =
      End != AttemptResult::Abandoned && !Current.Callers_.empty() &&
      !Current.CancelRequested_ && Current.Attempts_ < Limits_.MaxAttempts_ &&
      Current.Submission_.Deadline_ - Time_.now() > Slots_.medianServiceTime();
  if (!RetryAllowed)
    return false;
  // Nothing ran, and the upstream receives no work during its backoff, which
  // bounds these retries independently of the success rate.
  if (End == AttemptResult::Shed || End == AttemptResult::NotConnected)
    return true;
  return Current.Submission_.Class_ == MethodClass::Idempotent &&
         RetryBudget_.spend();
}

void Dispatcher::onAttemptEnd(Ticket Id, AttemptResult End, Nanos Elapsed,
                              std::shared_ptr<const KeptAnswer> Answer) {
  const auto Found =
      std::find_if(Jobs_.begin(), Jobs_.end(), [Id](auto &Candidate) {
        return Candidate.second.ActionTicket_ == Id;
      });
  if (Found == Jobs_.end() || Found->second.Stage_ != Stage::Running)
    return;
  Job &Current = Found->second;
  releaseSlot(Current, End, Elapsed);
  if (End == AttemptResult::Complete) {
    RetryBudget_.onSuccess();
    const char *Reason = Answer ? "" : "answer_not_kept";
    finish(Current, KeyState::Done,
           {Outcome::Done, Reason, false, std::move(Answer), false});
    return startNext();
  }
  if (End == AttemptResult::Failed || End == AttemptResult::Abandoned)
    Current.MayHaveRun_ = true;
  if (mayRetry(Current, End)) {
    std::uniform_int_distribution<std::int64_t> Jitter(MinRetryDelay.count(),
                                                       MaxRetryDelay.count());
    requeue(Current, Millis(Jitter(Random_)));
  } else if (Current.MayHaveRun_) {
    const bool Idempotent =
        Current.Submission_.Class_ == MethodClass::Idempotent;
    finish(Current, KeyState::Unknown, unknown("no_whole_answer", Idempotent));
  } else {
    refuse(Current, End == AttemptResult::Shed ? "shed_by_upstream"
                                               : "upstream_unreachable");
  }
  startNext();
}

void Dispatcher::refuse(Job &Current, std::string Reason) {
  std::erase(Queue_, Current.Submission_.Key_);
  Current.RefusalReason_ = std::move(Reason);
  if (Current.MayHaveRun_)
    return finish(Current, KeyState::Unknown,
                  unknown(Current.RefusalReason_, true));
  const bool StoredLocallyOnly =
      Current.Submission_.Class_ == MethodClass::Idempotent ||
      Quorum_.replicasNeeded() == 0;
  if (StoredLocallyOnly)
    return onRefusalReplicated(Current, ReplicationResult::Replicated);
  Current.Stage_ = Stage::Refusing;
  replicate(Current, KeyState::NotRun, Time_.now() + RefusalReplicationTimeout);
}

void Dispatcher::onRefusalReplicated(Job &Current, ReplicationResult End) {
  if (End == ReplicationResult::HeldElsewhere)
    return finish(Current, KeyState::Unknown, unknown("held_elsewhere", false));
  if (End == ReplicationResult::TooFewReplicas)
    return finish(Current, KeyState::Unknown,
                  unknown("no_majority_of_entries", true));
  finish(Current, KeyState::NotRun,
         {Outcome::NotRun, Current.RefusalReason_, true, nullptr, false});
}

void Dispatcher::finish(Job &Current, KeyState State, Verdict Result) {
  const IdempotencyKey Key = Current.Submission_.Key_;
  const bool Recorded =
      writeRecord(Current, State, Result.Reason_, Result.Answer_);
  if (!Recorded && Result.Outcome_ == Outcome::NotRun)
    Result = unknown("ledger_full", true);
  const bool Announced =
      Recorded && Current.Submission_.Class_ == MethodClass::Once &&
      Quorum_.replicasNeeded() > 0 && State != KeyState::NotRun;
  if (Announced)
    Actions_.emplace_back(Announce{
        Ledger_.makeReplica(Key, *Ledger_.find(Key)),
        Quorum_.replicaTargets(homeKey(Current.Submission_.Service_))});
  for (const Ticket Caller : Current.Callers_) {
    Actions_.emplace_back(Resolve{Caller, Result});
    Tickets_.erase(Caller);
  }
  if (std::ranges::find(Current.Callers_, Current.ActionTicket_) ==
      Current.Callers_.end())
    Actions_.emplace_back(Resolve{Current.ActionTicket_, Result});
  Jobs_.erase(Key);
}

} // namespace medlarmoor::request
