#include <medlarmoor/request/dispatcher.hpp>
#include <medlarmoor/request/submission_reader.hpp>

#include <algorithm>

namespace medlarmoor::request {

namespace {

Verdict unknown(std::string Reason, bool Retryable) {
  return {Outcome::Unknown, std::move(Reason), Retryable, nullptr, false};
}

Verdict notDispatcher() {
  return {Outcome::Unknown, "not_the_dispatcher", true, nullptr, true};
}

Verdict verdictOf(const Record &Existing) {
  switch (Existing.State_) {
  case KeyState::Done:
    return {Outcome::Done, Existing.Answer_ ? "" : "answer_not_kept", false,
            Existing.Answer_, false};
  case KeyState::NotRun:
    return {Outcome::NotRun, Existing.Reason_, true, nullptr, false};
  case KeyState::Accepted:
    return unknown("waiting", true);
  case KeyState::Dispatched:
    return unknown("running", true);
  case KeyState::Unknown:
    break;
  }
  return unknown(Existing.Reason_, false);
}

} // namespace

Dispatcher::Dispatcher(DispatcherIdentity Self, DispatcherLimits Limits,
                       Ledger &Records, DispatcherRole &Role, Quorum &Majority,
                       upstream::SlotPool Slots, Clock Time, Random Generator)
    : Self_(std::move(Self)), Limits_(Limits), Ledger_(Records), Role_(Role),
      Quorum_(Majority), Slots_(std::move(Slots)), Time_(std::move(Time)),
      Random_(Generator), RetryBudget_(Limits.RetryBudget_) {}

Ticket Dispatcher::submit(const Submission &Request) {
  if (const auto Found = Jobs_.find(Request.Key_); Found != Jobs_.end()) {
    const Ticket Id(NextTicket_++);
    Found->second.Callers_.push_back(Id);
    Tickets_.emplace(Id, Request.Key_);
    return Id;
  }
  if (std::optional<Verdict> Decided = verdictFor(Request))
    return resolveNow(std::move(*Decided));
  const Ticket Id(NextTicket_++);
  if (!deferForHandoff(Request, Id))
    admit(Request, Id);
  return Id;
}

void Dispatcher::admit(const Submission &Request, Ticket Id) {
  const std::optional<std::string> Shed = reasonToShed(Request);
  Job &Current = openJob(Request, Id);
  if (Shed)
    return refuse(Current, *Shed);
  writeRecord(Current, KeyState::Accepted, {});
  Queue_.push_back(Request.Key_);
  startNext();
}

std::optional<Verdict> Dispatcher::verdictFor(const Submission &Request) {
  Role_.checkClock();
  if (Role_.suspended())
    return unknown("paused", true);
  if (!Role_.isDispatcher(Request.Service_))
    return notDispatcher();
  if (const Record *Existing = Ledger_.find(Request.Key_))
    if (std::optional<Verdict> Result = verdictFromRecord(Request, *Existing))
      return Result;
  if (Request.Class_ == MethodClass::Idempotent)
    return std::nullopt;
  if (Request.Minted_ + Limits_.Horizon_ < Time_.wallNow())
    return unknown("key_older_than_the_horizon", false);
  if (!Quorum_.hasMajority())
    return unknown("no_majority_of_entries", true);
  if (mayHaveRunBefore(Request) && !Role_.awaitsHandoff(Request.Service_))
    return unknown("minted_before_take_over", false);
  return std::nullopt;
}

std::optional<Verdict>
Dispatcher::verdictFromRecord(const Submission &Request,
                              const Record &Existing) const {
  if (Existing.State_ == KeyState::NotRun && Request.Try_ > Existing.Try_)
    return std::nullopt;
  const bool Repeatable = Existing.Class_ == MethodClass::Idempotent &&
                          Request.Class_ == MethodClass::Idempotent &&
                          Existing.State_ != KeyState::Done &&
                          Existing.State_ != KeyState::NotRun;
  if (Repeatable)
    return std::nullopt;
  return verdictOf(Existing);
}

bool Dispatcher::mayHaveRunBefore(const Submission &Request) {
  if (const Record *Existing = Ledger_.find(Request.Key_))
    return Existing->State_ != KeyState::NotRun;
  const WallTime From =
      std::max(Role_.decidesFrom(Request.Service_), Quorum_.majoritySince());
  return Request.Minted_ < From ||
         Request.Minted_ + Limits_.Horizon_ < Time_.wallNow();
}

bool Dispatcher::deferForHandoff(const Submission &Request, Ticket Id) {
  if (Request.Class_ != MethodClass::Once || !mayHaveRunBefore(Request))
    return false;
  Deferred_.emplace_back(Id, Request);
  return true;
}

void Dispatcher::reviewDeferred() {
  const auto Waiting = std::exchange(Deferred_, {});
  for (const auto &[Id, Request] : Waiting) {
    if (std::optional<Verdict> Decided = verdictFor(Request))
      Actions_.emplace_back(Resolve{Id, std::move(*Decided)});
    else if (Jobs_.contains(Request.Key_))
      Actions_.emplace_back(Resolve{Id, unknown("running", true)});
    else if (!deferForHandoff(Request, Id))
      admit(Request, Id);
  }
}

std::optional<std::string>
Dispatcher::reasonToShed(const Submission &Request) const {
  const Nanos Remaining = Request.Deadline_ - Time_.now();
  if (Remaining <= Nanos(0))
    return "expired";
  if (!Ledger_.hasRoom())
    return "ledger_full";
  const double Slots = Slots_.slots();
  if (Slots == 0)
    return "no_upstream";
  const double Ahead = static_cast<double>(Queue_.size());
  if (Ahead >= Slots * Limits_.QueuePerSlot_)
    return "queue_full";
  const auto Typical = static_cast<double>(Slots_.medianServiceTime().count());
  if (Typical * Ahead / Slots > static_cast<double>(Remaining.count()))
    return "would_expire";
  return std::nullopt;
}

Ticket Dispatcher::resolveNow(Verdict Result) {
  const Ticket Id(NextTicket_++);
  Actions_.emplace_back(Resolve{Id, std::move(Result)});
  return Id;
}

Dispatcher::Job &Dispatcher::openJob(const Submission &Request, Ticket Id) {
  const bool MayHaveRun = mayHaveRunBefore(Request);
  Job &Current = Jobs_[Request.Key_];
  Current.Submission_ = Request;
  Current.ActionTicket_ = Id;
  Current.Callers_ = {Id};
  Current.MayHaveRun_ = MayHaveRun;
  Tickets_.emplace(Id, Request.Key_);
  return Current;
}

bool Dispatcher::writeRecord(const Job &Current, KeyState State,
                             const std::string &Reason,
                             std::shared_ptr<const KeptAnswer> Answer) {
  Record Stored;
  Stored.Service_ = Current.Submission_.Service_;
  Stored.Class_ = Current.Submission_.Class_;
  Stored.State_ = State;
  Stored.Dispatcher_ = Self_.Name_;
  Stored.Incarnation_ = Self_.Incarnation_;
  Stored.Try_ = Current.Submission_.Try_;
  Stored.Expires_ = Current.Submission_.Deadline_ + Limits_.Horizon_;
  Stored.Reason_ = Reason;
  Stored.Answer_ = std::move(Answer);
  return Ledger_.put(Current.Submission_.Key_, std::move(Stored));
}

Verdict Dispatcher::lookUp(const IdempotencyKey &Key) {
  Role_.checkClock();
  const Record *Existing = Ledger_.find(Key);
  return Existing ? verdictOf(*Existing) : unknown("no_record", true);
}

Ticket Dispatcher::refuse(const Submission &Request, bool CancelRunning) {
  const auto Found = Jobs_.find(Request.Key_);
  if (Found == Jobs_.end()) {
    if (std::optional<Verdict> Decided = verdictFor(Request))
      return resolveNow(std::move(*Decided));
    const Ticket Id(NextTicket_++);
    refuse(openJob(Request, Id), CancelRunning ? "cancelled" : "bad_input");
    return Id;
  }
  Job &Current = Found->second;
  if (!CancelRunning)
    return resolveNow(unknown("running", true));
  const Ticket Id(NextTicket_++);
  Current.Callers_.push_back(Id);
  Tickets_.emplace(Id, Request.Key_);
  Current.CancelRequested_ = true;
  if (Current.Stage_ == Stage::Waiting)
    refuse(Current, "cancelled");
  else if (Current.Stage_ == Stage::Running)
    Actions_.emplace_back(
        Cancel{Current.ActionTicket_, *Current.Slot_, Current.Attempt_, false});
  return Id;
}

void Dispatcher::withdraw(Ticket Id) {
  Job *Current = findJob(Id);
  Tickets_.erase(Id);
  std::erase_if(Deferred_,
                [Id](const auto &Waiting) { return Waiting.first == Id; });
  if (!Current)
    return;
  std::erase(Current->Callers_, Id);
  if (!Current->Callers_.empty())
    return;
  const bool Idempotent =
      Current->Submission_.Class_ == MethodClass::Idempotent;
  if (Current->Stage_ == Stage::Running && Idempotent)
    Actions_.emplace_back(Cancel{Current->ActionTicket_, *Current->Slot_,
                                 Current->Attempt_, true});
  if (Current->Stage_ != Stage::Waiting)
    return;
  std::erase(Queue_, Current->Submission_.Key_);
  if (Current->Replicated_)
    return finish(*Current, KeyState::NotRun,
                  {Outcome::NotRun, "caller_left", true, nullptr, false});
  if (!Current->MayHaveRun_)
    Ledger_.erase(Current->Submission_.Key_);
  Actions_.emplace_back(
      Resolve{Current->ActionTicket_, unknown("caller_left", true)});
  Jobs_.erase(Current->Submission_.Key_);
}

void Dispatcher::redirectWaiting() {
  for (const auto &[Id, Request] : std::exchange(Deferred_, {}))
    Actions_.emplace_back(Resolve{Id, notDispatcher()});
  for (const IdempotencyKey &Key : std::exchange(Queue_, {})) {
    const auto Found = Jobs_.find(Key);
    for (const Ticket Id : Found->second.Callers_) {
      Actions_.emplace_back(Resolve{Id, notDispatcher()});
      Tickets_.erase(Id);
    }
    if (!Found->second.Replicated_ && !Found->second.MayHaveRun_)
      Ledger_.erase(Key);
    if (std::ranges::find(Found->second.Callers_,
                          Found->second.ActionTicket_) ==
        Found->second.Callers_.end())
      Actions_.emplace_back(
          Resolve{Found->second.ActionTicket_, notDispatcher()});
    Jobs_.erase(Found);
  }
}

void Dispatcher::tick() {
  Role_.checkClock();
  reviewDeferred();
  refuseExpired();
  startNext();
}

void Dispatcher::refuseExpired() {
  const TimePoint Now = Time_.now();
  std::vector<IdempotencyKey> Expired;
  for (const IdempotencyKey &Key : Queue_)
    if (Jobs_.at(Key).Submission_.Deadline_ <= Now)
      Expired.push_back(Key);
  for (const IdempotencyKey &Key : Expired)
    refuse(Jobs_.at(Key), "expired_in_queue");
}

Dispatcher::Job *Dispatcher::findJob(Ticket Id) {
  const auto Ticketed = Tickets_.find(Id);
  if (Ticketed == Tickets_.end())
    return nullptr;
  const auto Found = Jobs_.find(Ticketed->second);
  return Found == Jobs_.end() ? nullptr : &Found->second;
}

std::vector<Action> Dispatcher::takeActions() {
  return std::exchange(Actions_, {});
}

void Dispatcher::setLimits(const DispatcherLimits &Limits) { Limits_ = Limits; }

} // namespace medlarmoor::request
