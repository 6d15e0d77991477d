#include <medlarmoor/objects/follower.hpp>

#include <algorithm>

namespace medlarmoor::objects {

namespace {

/// Number of doublings after which the backoff has reached its maximum in any
/// case.
constexpr unsigned MaxDoublings = 8;

} // namespace

Follower::Follower(FollowerTiming Timing, Random RandomSource)
    : Timing_(Timing), Random_(RandomSource) {}

FollowerStep Follower::next(TimePoint Now) const {
  if (const TimePoint Until = std::max(NotBefore_, DeferUntil_); Now < Until)
    return Pause{Until};
  if (ListAfter_)
    return ListCall{*ListAfter_};
  // Shortens the wait so that answers are never further apart than WatchWait_,
  // whatever pause or peer's reading preceded this call.
  const Nanos Age = CurrentAsOf_ ? Now - LearnedAt_ : Nanos(0);
  const Millis Wait =
      Timing_.WatchWait_ - std::chrono::duration_cast<Millis>(Age);
  return WatchCall{Revision_, std::max(Wait, Millis(0))};
}

bool Follower::recordPage(bool More, const std::string &LastName,
                          StoreRevision Revision, TimePoint Sent,
                          TimePoint Now) {
  recordSuccess();
  NotBefore_ = Now;
  if (!ListAfter_)
    return false;
  if (Revision.Epoch_ < Revision_.Epoch_ ||
      (ListRevision_ && Revision.Epoch_ != ListRevision_->Epoch_)) {
    restartList();
    return false;
  }
  if (!ListRevision_) {
    ListRevision_ = Revision;
    ListSent_ = Sent;
  }
  if (More) {
    ListAfter_ = LastName;
    return false;
  }
  // The first watch repeats changes that were made while the list was read. It
  // is put off, because another instance may read the store for this one.
  NotBefore_ = Now + Timing_.BatchDelay_;
  Revision_ = *ListRevision_;
  LastChange_ = Revision_;
  CurrentAsOf_ = ListSent_;
  LearnedAt_ = Now;
  ListAfter_.reset();
  ListRevision_.reset();
  return true;
}

bool Follower::recordChanges(StoreRevision Since, bool HasChanges,
                             StoreRevision Revision, TimePoint Sent,
                             TimePoint Now) {
  recordSuccess();
  if (Revision.Epoch_ != Since.Epoch_) {
    NotBefore_ = Now;
    recordEpoch(Revision.Epoch_);
    return false;
  }
  NotBefore_ = HasChanges ? Now + Timing_.BatchDelay_ : Now;
  if (Revision < Revision_)
    return false;
  Revision_ = Revision;
  if (HasChanges)
    LastChange_ = Revision;
  CurrentAsOf_ = std::max(CurrentAsOf_.value_or(Sent), Sent);
  // After a pause of this process, the next watch must not wait.
  const bool Delayed = Now - Sent > Timing_.WatchWait_ + Timing_.CallTimeout_;
  LearnedAt_ = Delayed ? Sent : Now;
  return true;
}

void Follower::adopt(StoreRevision Revision, StoreRevision LastChange,
                     TimePoint AsOf) {
  Revision_ = Revision;
  LastChange_ = LastChange;
  CurrentAsOf_ = std::max(CurrentAsOf_.value_or(AsOf), AsOf);
  LearnedAt_ = *CurrentAsOf_;
  ListAfter_.reset();
  ListRevision_.reset();
}

void Follower::defer(StoreRevision Revision, TimePoint AsOf, TimePoint Until) {
  Revision_ = std::max(Revision_, Revision);
  CurrentAsOf_ = std::max(CurrentAsOf_.value_or(AsOf), AsOf);
  LearnedAt_ = *CurrentAsOf_;
  DeferUntil_ = Until;
}

void Follower::recordHistoryLoss(StoreRevision Since, TimePoint Now) {
  recordSuccess();
  NotBefore_ = Now;
  // A peer may have told of the store's next epoch meanwhile.
  if (Since.Epoch_ == Revision_.Epoch_)
    restartList();
}

void Follower::recordEpoch(StoreEpoch Current) noexcept {
  if (Current > Revision_.Epoch_)
    restartList();
}

void Follower::recordFailure(TimePoint Now) {
  if (!FailingSince_)
    FailingSince_ = Now;
  // An interrupted list starts again from its first page.
  if (ListAfter_)
    restartList();
  const unsigned Doublings = std::min(Failures_++, MaxDoublings);
  const Millis Backoff = std::min(Timing_.MaxBackoff_,
                                  Timing_.InitialBackoff_ * (1U << Doublings));
  // Half of the backoff is fixed and half is random, so that instances do not
  // call at the same times.
  std::uniform_int_distribution<std::int64_t> Jitter(Backoff.count() / 2,
                                                     Backoff.count());
  NotBefore_ = Now + Millis(Jitter(Random_));
}

bool Follower::inOutage(TimePoint Now) const noexcept {
  // The outage may have begun long before the first failed call, because a peer
  // may have read the store until then.
  return FailingSince_ && Now - std::min(*FailingSince_, CurrentAsOf_.value_or(
                                                             *FailingSince_)) >=
                              Timing_.OutageThreshold_;
}

void Follower::restartList() noexcept {
  ListAfter_ = std::string();
  ListRevision_.reset();
}

void Follower::recordSuccess() noexcept {
  Answered_ = true;
  Failures_ = 0;
  FailingSince_.reset();
}

} // namespace medlarmoor::objects
