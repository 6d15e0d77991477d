#include <medlarmoor/config/watch_scheduler.hpp>

#include <algorithm>

namespace medlarmoor::config {

namespace {

/// Period between two reads of one watcher. The two watchers of a domain
/// alternate, so that a domain reads twice per period. A single watcher still
/// reads often enough for a change to be in force in time when its watch is
/// silent.
constexpr Millis ReadPeriod{2400};
/// Bounds of the backoff after a failed call, before jitter.
constexpr Millis MinRetryDelay{150};
constexpr Millis MaxRetryDelay{1000};
/// Calls must have failed for this long before the platform counts as lost.
constexpr Millis MinFailingTime{600};
/// The platform counts as lost when a list or read call stays unanswered for
/// this long.
constexpr Millis AnswerTimeout{800};
/// Consecutive failures before the platform counts as lost.
constexpr std::uint32_t MinFailures = 2;
/// Bounds the exponent of the backoff.
constexpr std::uint32_t MaxBackoffShift = 4;

} // namespace

WatchScheduler::WatchScheduler(Clock Time, Random Source)
    : Clock_(std::move(Time)), Random_(Source), RetryAt_(Clock_.now()),
      NextReadAt_(Clock_.now()) {}

void WatchScheduler::setDuty(bool OnDuty, bool IsSecondWatcher) {
  IsSecondWatcher_ = IsSecondWatcher;
  if (OnDuty && !OnDuty_) {
    FailingSince_.reset();
    Failures_ = 0;
    requestRead();
  }
  OnDuty_ = OnDuty;
}

void WatchScheduler::requestRead() {
  NextReadAt_ = Clock_.now();
  RetryAt_ = Clock_.now();
}

/// Aligns reads to the wall clock. The clocks of the entries agree closely
/// enough for the two watchers to alternate.
void WatchScheduler::scheduleRead() {
  const Millis Phase = IsSecondWatcher_ ? ReadPeriod / 2 : Millis(0);
  const Millis Elapsed =
      (Clock_.wallNow().time_since_epoch() + Phase) % ReadPeriod;
  NextReadAt_ = Clock_.now() + (ReadPeriod - Elapsed);
}

void WatchScheduler::recordSuccess() {
  Failures_ = 0;
  FailingSince_.reset();
}

void WatchScheduler::recordFailure() {
  const Millis Delay =
      std::min(MinRetryDelay * (1U << std::min(Failures_, MaxBackoffShift)),
               MaxRetryDelay);
  std::uniform_int_distribution<std::int64_t> Jitter(Delay.count() / 2,
                                                     Delay.count());
  RetryAt_ = Clock_.now() + Millis(Jitter(Random_));
  ++Failures_;
  if (!FailingSince_)
    FailingSince_ = Clock_.now();
}

void WatchScheduler::onListEnd(std::optional<StoreRevision> Revision) {
  ListInFlight_ = false;
  UnansweredSince_.reset();
  if (!Revision)
    return recordFailure();
  recordSuccess();
  Revision_ = Revision;
}

void WatchScheduler::onWatchEnd(std::optional<StoreRevision> Revision) {
  WatchInFlight_ = false;
  if (!Revision)
    return recordFailure();
  recordSuccess();
  // After a restore, the number from which the watch started means something
  // else, and changes may be missing in its answer.
  const bool IsSameEpoch = Revision_ && Revision_->Epoch_ == Revision->Epoch_;
  Revision_ = IsSameEpoch ? Revision : std::nullopt;
}

void WatchScheduler::onWatchExpired() {
  WatchInFlight_ = false;
  recordSuccess();
  Revision_.reset();
}

void WatchScheduler::onReadEnd(bool Answered) {
  ReadInFlight_ = false;
  UnansweredSince_.reset();
  if (Answered)
    recordSuccess();
  else
    recordFailure();
}

FollowerActions WatchScheduler::dueCalls() {
  FollowerActions Calls;
  if (!OnDuty_)
    return Calls;
  const TimePoint Now = Clock_.now();
  const bool MayCall = Now >= RetryAt_;
  if (MayCall && !Revision_ && !ListInFlight_) {
    ListInFlight_ = true;
    UnansweredSince_ = Now;
    Calls.emplace_back(ListManifests());
  }
  if (MayCall && Revision_ && !WatchInFlight_) {
    WatchInFlight_ = true;
    Calls.emplace_back(WatchManifests{Revision_->Number_});
  }
  if (MayCall && Now >= NextReadAt_ && !ReadInFlight_ && !ListInFlight_) {
    ReadInFlight_ = true;
    UnansweredSince_ = Now;
    scheduleRead();
    Calls.emplace_back(ReadManifest());
  }
  return Calls;
}

bool WatchScheduler::hasLostPlatform() const {
  const TimePoint Now = Clock_.now();
  const bool Failing = FailingSince_ && Failures_ >= MinFailures &&
                       Now - *FailingSince_ >= MinFailingTime;
  const bool Unanswered =
      UnansweredSince_ && Now - *UnansweredSince_ >= AnswerTimeout;
  return OnDuty_ && (Failing || Unanswered);
}

} // namespace medlarmoor::config
