#include <medlarmoor/request/key_parts.hpp>
#include <medlarmoor/request/ledger.hpp>
#include <medlarmoor/request/submission_reader.hpp>

#include <algorithm>

namespace medlarmoor::request {

namespace {

bool isFinal(KeyState State) {
  return State != KeyState::Accepted && State != KeyState::Dispatched;
}

} // namespace

Ledger::Ledger(std::size_t Capacity, Clock Time)
    : Capacity_(Capacity), Time_(std::move(Time)),
      Since_(Time_.wallNow() + ClockBound) {}

Record *Ledger::find(const IdempotencyKey &Key) {
  const auto At = Records_.find(Key);
  return At == Records_.end() ? nullptr : &At->second;
}

bool Ledger::hasRoom() const noexcept {
  return Records_.size() < Capacity_ - Capacity_ / 10;
}

bool Ledger::put(const IdempotencyKey &Key, Record Value) {
  const auto At = Records_.find(Key);
  if (At == Records_.end() && Records_.size() >= Capacity_)
    return false;
  Expiry_.emplace(Value.Expires_, Key);
  Records_.insert_or_assign(Key, std::move(Value));
  return true;
}

void Ledger::erase(const IdempotencyKey &Key) { Records_.erase(Key); }

bool Ledger::vouches(const LedgerCopy &Copy) const {
  return Copy.Minted_ >= Since_ || isFinal(Copy.State_);
}

CopyAnswer Ledger::take(const LedgerCopy &Copy) {
  const Record *Held = find(Copy.Key_);
  const bool Same =
      Held && Held->Dispatcher_ == Copy.Dispatcher_ && Held->Run_ == Copy.Run_;
  const bool Reopened =
      Held && Held->State_ == KeyState::NotRun && Copy.Try_ > Held->Try_;
  if (Held && !Same && !Reopened)
    return CopyAnswer::Held;
  if (!Held && !vouches(Copy))
    return CopyAnswer::Gap;
  const bool Late = Held && Copy.Try_ <= Held->Try_ && isFinal(Held->State_) &&
                    !isFinal(Copy.State_);
  if (Late)
    return CopyAnswer::Taken;
  return putCopy(Copy) ? CopyAnswer::Taken : CopyAnswer::Refused;
}

bool Ledger::putCopy(const LedgerCopy &Copy) {
  Record Value;
  Value.Service_ = Copy.Service_;
  Value.State_ = Copy.State_;
  Value.Dispatcher_ = Copy.Dispatcher_;
  Value.Run_ = Copy.Run_;
  Value.Try_ = Copy.Try_;
  Value.Expires_ = Time_.now() + Copy.KeepFor_;
  Value.Reason_ = Copy.Reason_;
  if (const Record *Held = find(Copy.Key_))
    Value.Answer_ = Held->Answer_;
  return put(Copy.Key_, std::move(Value));
}

void Ledger::adopt(const LedgerCopy &Copy) {
  if (!find(Copy.Key_))
    putCopy(Copy);
}

LedgerCopy Ledger::copyOf(const IdempotencyKey &Key,
                          const Record &Value) const {
  const std::optional<KeyParts> Parts = parseKey(Key);
  const auto KeepFor = std::chrono::ceil<Millis>(Value.Expires_ - Time_.now());
  return {Key,
          Value.Service_,
          Value.State_,
          Value.Dispatcher_,
          Value.Run_,
          Value.Try_,
          Parts ? Parts->Minted_ : WallTime(),
          std::max(KeepFor, Millis(0)),
          Value.Reason_};
}

std::vector<LedgerCopy> Ledger::copies(const ServiceName &Service) const {
  std::vector<LedgerCopy> Out;
  for (const auto &[Key, Value] : Records_)
    if (Value.Service_ == Service && Value.State_ != KeyState::Accepted)
      Out.push_back(copyOf(Key, Value));
  return Out;
}

void Ledger::expire() {
  const TimePoint Now = Time_.now();
  while (!Expiry_.empty() && Expiry_.begin()->first <= Now) {
    const auto At = Records_.find(Expiry_.begin()->second);
    if (At != Records_.end() && At->second.Expires_ <= Now)
      Records_.erase(At);
    Expiry_.erase(Expiry_.begin());
  }
}

} // namespace medlarmoor::request
