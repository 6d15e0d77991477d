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
      CompleteSince_(Time_.wallNow() + MaxClockSkew) {}

Record *Ledger::find(const IdempotencyKey &Key) {
  const auto Found = Records_.find(Key);
  return Found == Records_.end() ? nullptr : &Found->second;
}

bool Ledger::hasRoom() const noexcept {
  return Records_.size() < Capacity_ - Capacity_ / 10;
}

bool Ledger::put(const IdempotencyKey &Key, Record Stored) {
  const auto Found = Records_.find(Key);
  if (Found == Records_.end() && Records_.size() >= Capacity_)
    return false;
  Expiry_.emplace(Stored.Expires_, Key);
  Records_.insert_or_assign(Key, std::move(Stored));
  return true;
}

void Ledger::erase(const IdempotencyKey &Key) { Records_.erase(Key); }

bool Ledger::covers(const RecordReplica &Replica) const {
  return Replica.Minted_ >= CompleteSince_ || isFinal(Replica.State_);
}

ReplicaAnswer Ledger::storeReplica(const RecordReplica &Replica) {
  const Record *Existing = find(Replica.Key_);
  const bool SameDispatcher = Existing &&
                              Existing->Dispatcher_ == Replica.Dispatcher_ &&
                              Existing->Incarnation_ == Replica.Incarnation_;
  const bool Reopened = Existing && Existing->State_ == KeyState::NotRun &&
                        Replica.Try_ > Existing->Try_;
  if (Existing && !SameDispatcher && !Reopened)
    return ReplicaAnswer::HeldElsewhere;
  if (!Existing && !covers(Replica))
    return ReplicaAnswer::NotCovered;
  const bool Outdated = Existing && Replica.Try_ <= Existing->Try_ &&
                        isFinal(Existing->State_) && !isFinal(Replica.State_);
  if (Outdated)
    return ReplicaAnswer::Stored;
  return putReplica(Replica) ? ReplicaAnswer::Stored : ReplicaAnswer::Refused;
}

bool Ledger::putReplica(const RecordReplica &Replica) {
  Record Stored;
  Stored.Service_ = Replica.Service_;
  Stored.State_ = Replica.State_;
  Stored.Dispatcher_ = Replica.Dispatcher_;
  Stored.Incarnation_ = Replica.Incarnation_;
  Stored.Try_ = Replica.Try_;
  Stored.Expires_ = Time_.now() + Replica.TimeToLive_;
  Stored.Reason_ = Replica.Reason_;
  if (const Record *Existing = find(Replica.Key_))
    Stored.Answer_ = Existing->Answer_;
  return put(Replica.Key_, std::move(Stored));
}

void Ledger::adopt(const RecordReplica &Replica) {
  if (!find(Replica.Key_))
    putReplica(Replica);
}

RecordReplica Ledger::makeReplica(const IdempotencyKey &Key,
                                  const Record &Stored) const {
  const std::optional<KeyParts> Parts = parseKey(Key);
  const auto TimeToLive =
      std::chrono::ceil<Millis>(Stored.Expires_ - Time_.now());
  return {Key,
          Stored.Service_,
          Stored.State_,
          Stored.Dispatcher_,
          Stored.Incarnation_,
          Stored.Try_,
          Parts ? Parts->Minted_ : WallTime(),
          std::max(TimeToLive, Millis(0)),
          Stored.Reason_};
}

std::vector<RecordReplica>
Ledger::replicasForHandoff(const ServiceName &Service) const {
  std::vector<RecordReplica> Replicas;
  for (const auto &[Key, Stored] : Records_)
    if (Stored.Service_ == Service && Stored.State_ != KeyState::Accepted)
      Replicas.push_back(makeReplica(Key, Stored));
  return Replicas;
}

void Ledger::expire() {
  const TimePoint Now = Time_.now();
  while (!Expiry_.empty() && Expiry_.begin()->first <= Now) {
    const auto Found = Records_.find(Expiry_.begin()->second);
    if (Found != Records_.end() && Found->second.Expires_ <= Now)
      Records_.erase(Found);
    Expiry_.erase(Expiry_.begin());
  }
}

} // namespace medlarmoor::request
