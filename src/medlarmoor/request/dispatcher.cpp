#include <medlarmoor/request/dispatcher.hpp>
#include <medlarmoor/request/submission_reader.hpp>

#include <algorithm>

namespace medlarmoor::request {

namespace {

Verdict unknown(std::string Reason, bool Retry) {
  return {Outcome::Unknown, std::move(Reason), Retry, nullptr, false};
}

Verdict moved() {
  return {Outcome::Unknown, "not_the_dispatcher", true, nullptr, true};
}

Verdict ofRecord(const Record &Known) {
  switch (Known.State_) {
  case KeyState::Done:
    return {Outcome::Done, Known.Answer_ ? "" : "answer_not_kept", false,
            Known.Answer_, false};
  case KeyState::NotRun:
    return {Outcome::NotRun, Known.Reason_, true, nullptr, false};
  case KeyState::Accepted:
    return unknown("waiting", true);
  case KeyState::Dispatched:
    return unknown("running", true);
  case KeyState::Unknown:
    break;
  }
  return unknown(Known.Reason_, false);
}

} // namespace

Dispatcher::Dispatcher(DispatcherIdentity Self, DispatcherLimits Limits,
                       Ledger &Known, DispatcherRole &Office, Quorum &Members,
                       upstream::SlotPool Slots, Clock Time, Random Source)
    : Self_(std::move(Self)), Limits_(Limits), Known_(Known), Office_(Office),
      Members_(Members), Slots_(std::move(Slots)), Time_(std::move(Time)),
      Source_(Source), Budget_(Limits.RetryBudget_) {}

Ticket Dispatcher::submit(const Submission &Asked) {
  if (const auto At = Jobs_.find(Asked.Key_); At != Jobs_.end()) {
    const Ticket Of(NextTicket_++);
    At->second.Callers_.push_back(Of);
    Tickets_.emplace(Of, Asked.Key_);
    return Of;
  }
  if (std::optional<Verdict> Known = judge(Asked))
    return resolveNow(std::move(*Known));
  const Ticket Of(NextTicket_++);
  if (!holdBack(Asked, Of))
    admit(Asked, Of);
  return Of;
}

void Dispatcher::admit(const Submission &Asked, Ticket Of) {
  const std::optional<std::string> Shed = reasonToShed(Asked);
  Job &Each = open(Asked, Of);
  if (Shed)
    return refuse(Each, *Shed);
  record(Each, KeyState::Accepted, {});
  Queue_.push_back(Asked.Key_);
  startNext();
}

std::optional<Verdict> Dispatcher::judge(const Submission &Asked) {
  Office_.check();
  if (Office_.suspended())
    return unknown("paused", true);
  if (!Office_.isDispatcher(Asked.Service_))
    return moved();
  if (const Record *Known = Known_.find(Asked.Key_))
    if (std::optional<Verdict> Of = judgeRecord(Asked, *Known))
      return Of;
  if (Asked.Class_ == MethodClass::Idempotent)
    return std::nullopt;
  if (Asked.Minted_ + Limits_.Horizon_ < Time_.wallNow())
    return unknown("key_older_than_the_horizon", false);
  if (!Members_.holds())
    return unknown("no_majority_of_entries", true);
  if (mayHaveRunBefore(Asked) && !Office_.awaitsHandover(Asked.Service_))
    return unknown("minted_before_take_over", false);
  return std::nullopt;
}

std::optional<Verdict> Dispatcher::judgeRecord(const Submission &Asked,
                                               const Record &Known) const {
  if (Known.State_ == KeyState::NotRun && Asked.Try_ > Known.Try_)
    return std::nullopt;
  const bool Repeatable = Known.Class_ == MethodClass::Idempotent &&
                          Asked.Class_ == MethodClass::Idempotent &&
                          Known.State_ != KeyState::Done &&
                          Known.State_ != KeyState::NotRun;
  if (Repeatable)
    return std::nullopt;
  return ofRecord(Known);
}

bool Dispatcher::mayHaveRunBefore(const Submission &Asked) {
  if (const Record *Known = Known_.find(Asked.Key_))
    return Known->State_ != KeyState::NotRun;
  const WallTime From =
      std::max(Office_.judgesFrom(Asked.Service_), Members_.since());
  return Asked.Minted_ < From ||
         Asked.Minted_ + Limits_.Horizon_ < Time_.wallNow();
}

bool Dispatcher::holdBack(const Submission &Asked, Ticket Of) {
  if (Asked.Class_ != MethodClass::Once || !mayHaveRunBefore(Asked))
    return false;
  HeldBack_.emplace_back(Of, Asked);
  return true;
}

void Dispatcher::reviewHeldBack() {
  const auto Waiting = std::exchange(HeldBack_, {});
  for (const auto &[Of, Asked] : Waiting) {
    if (std::optional<Verdict> Known = judge(Asked))
      Actions_.emplace_back(Resolve{Of, std::move(*Known)});
    else if (Jobs_.contains(Asked.Key_))
      Actions_.emplace_back(Resolve{Of, unknown("running", true)});
    else if (!holdBack(Asked, Of))
      admit(Asked, Of);
  }
}

std::optional<std::string>
Dispatcher::reasonToShed(const Submission &Asked) const {
  const Nanos Left = Asked.Deadline_ - Time_.now();
  if (Left <= Nanos(0))
    return "expired";
  if (!Known_.hasRoom())
    return "ledger_full";
  const double Slots = Slots_.slots();
  if (Slots == 0)
    return "no_upstream";
  const double Ahead = static_cast<double>(Queue_.size());
  if (Ahead >= Slots * Limits_.QueuePerSlot_)
    return "queue_full";
  const auto Typical = static_cast<double>(Slots_.typicalTime().count());
  if (Typical * Ahead / Slots > static_cast<double>(Left.count()))
    return "would_expire";
  return std::nullopt;
}

Ticket Dispatcher::resolveNow(Verdict Of) {
  const Ticket Mine(NextTicket_++);
  Actions_.emplace_back(Resolve{Mine, std::move(Of)});
  return Mine;
}

Dispatcher::Job &Dispatcher::open(const Submission &Asked, Ticket Of) {
  const bool MayHaveRun = mayHaveRunBefore(Asked);
  Job &Each = Jobs_[Asked.Key_];
  Each.Asked_ = Asked;
  Each.Own_ = Of;
  Each.Callers_ = {Of};
  Each.MayHaveRun_ = MayHaveRun;
  Tickets_.emplace(Of, Asked.Key_);
  return Each;
}

bool Dispatcher::record(const Job &Of, KeyState State,
                        const std::string &Reason,
                        std::shared_ptr<const KeptAnswer> Answer) {
  Record Value;
  Value.Service_ = Of.Asked_.Service_;
  Value.Class_ = Of.Asked_.Class_;
  Value.State_ = State;
  Value.Dispatcher_ = Self_.Name_;
  Value.Run_ = Self_.Run_;
  Value.Try_ = Of.Asked_.Try_;
  Value.Expires_ = Of.Asked_.Deadline_ + Limits_.Horizon_;
  Value.Reason_ = Reason;
  Value.Answer_ = std::move(Answer);
  return Known_.put(Of.Asked_.Key_, std::move(Value));
}

Verdict Dispatcher::lookUp(const IdempotencyKey &Key) {
  Office_.check();
  const Record *Known = Known_.find(Key);
  return Known ? ofRecord(*Known) : unknown("no_record", true);
}

Ticket Dispatcher::refuse(const Submission &Asked, bool Stop) {
  const auto At = Jobs_.find(Asked.Key_);
  if (At == Jobs_.end()) {
    if (std::optional<Verdict> Known = judge(Asked))
      return resolveNow(std::move(*Known));
    const Ticket Of(NextTicket_++);
    refuse(open(Asked, Of), Stop ? "cancelled" : "bad_input");
    return Of;
  }
  Job &Each = At->second;
  if (!Stop)
    return resolveNow(unknown("running", true));
  const Ticket Of(NextTicket_++);
  Each.Callers_.push_back(Of);
  Tickets_.emplace(Of, Asked.Key_);
  Each.CancelAsked_ = true;
  if (Each.Stage_ == Stage::Waiting)
    refuse(Each, "cancelled");
  else if (Each.Stage_ == Stage::Running)
    Actions_.emplace_back(Cancel{Each.Own_, *Each.At_, Each.Attempt_, false});
  return Of;
}

void Dispatcher::withdraw(Ticket Of) {
  Job *Each = jobOf(Of);
  Tickets_.erase(Of);
  std::erase_if(HeldBack_, [Of](const auto &Held) { return Held.first == Of; });
  if (!Each)
    return;
  std::erase(Each->Callers_, Of);
  if (!Each->Callers_.empty())
    return;
  const bool Idempotent = Each->Asked_.Class_ == MethodClass::Idempotent;
  if (Each->Stage_ == Stage::Running && Idempotent)
    Actions_.emplace_back(Cancel{Each->Own_, *Each->At_, Each->Attempt_, true});
  if (Each->Stage_ != Stage::Waiting)
    return;
  std::erase(Queue_, Each->Asked_.Key_);
  if (Each->Replicated_)
    return finish(*Each, KeyState::NotRun,
                  {Outcome::NotRun, "caller_left", true, nullptr, false});
  if (!Each->MayHaveRun_)
    Known_.erase(Each->Asked_.Key_);
  Actions_.emplace_back(Resolve{Each->Own_, unknown("caller_left", true)});
  Jobs_.erase(Each->Asked_.Key_);
}

void Dispatcher::moveOn() {
  for (const auto &[Of, Asked] : std::exchange(HeldBack_, {}))
    Actions_.emplace_back(Resolve{Of, moved()});
  for (const IdempotencyKey &Key : std::exchange(Queue_, {})) {
    const auto At = Jobs_.find(Key);
    for (const Ticket Of : At->second.Callers_) {
      Actions_.emplace_back(Resolve{Of, moved()});
      Tickets_.erase(Of);
    }
    if (!At->second.Replicated_ && !At->second.MayHaveRun_)
      Known_.erase(Key);
    if (std::ranges::find(At->second.Callers_, At->second.Own_) ==
        At->second.Callers_.end())
      Actions_.emplace_back(Resolve{At->second.Own_, moved()});
    Jobs_.erase(At);
  }
}

void Dispatcher::tick() {
  Office_.check();
  reviewHeldBack();
  dropExpired();
  startNext();
}

void Dispatcher::dropExpired() {
  const TimePoint Now = Time_.now();
  std::vector<IdempotencyKey> Late;
  for (const IdempotencyKey &Key : Queue_)
    if (Jobs_.at(Key).Asked_.Deadline_ <= Now)
      Late.push_back(Key);
  for (const IdempotencyKey &Key : Late)
    refuse(Jobs_.at(Key), "expired_in_queue");
}

Dispatcher::Job *Dispatcher::jobOf(Ticket Of) {
  const auto At = Tickets_.find(Of);
  if (At == Tickets_.end())
    return nullptr;
  const auto Found = Jobs_.find(At->second);
  return Found == Jobs_.end() ? nullptr : &Found->second;
}

std::vector<Action> Dispatcher::take() { return std::exchange(Actions_, {}); }

void Dispatcher::setLimits(const DispatcherLimits &Limits) { Limits_ = Limits; }

} // namespace medlarmoor::request
