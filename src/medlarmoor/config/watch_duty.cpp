#include <medlarmoor/config/watch_duty.hpp>

#include <algorithm>

namespace medlarmoor::config {

namespace {

/// Both watchers of a domain read in turn, so that a domain reads twice in this
/// time. A single one still reads often enough for a change to be in force in
/// time when its watch is silent.
constexpr Millis ReadPeriod{2400};
constexpr Millis FirstRetry{150};
constexpr Millis LongestRetry{1000};
constexpr Millis LostAfter{600};
/// A call without an answer for this long counts as failed.
constexpr Millis UnansweredAfter{800};
constexpr std::uint32_t LostFailures = 2;
constexpr std::uint32_t GreatestShift = 4;

} // namespace

WatchDuty::WatchDuty(Clock Time, Random Source)
    : Clock_(std::move(Time)), Random_(Source), RetryAt_(Clock_.now()),
      NextRead_(Clock_.now()) {}

void WatchDuty::set(bool OnDuty, bool IsSecond) {
  IsSecond_ = IsSecond;
  if (OnDuty && !OnDuty_) {
    FailingSince_.reset();
    Failures_ = 0;
    readSoon();
  }
  OnDuty_ = OnDuty;
}

void WatchDuty::readSoon() {
  NextRead_ = Clock_.now();
  RetryAt_ = Clock_.now();
}

/// Aligns reads to the wall clock, which all entries share nearly enough.
void WatchDuty::scheduleRead() {
  const Millis Phase = IsSecond_ ? ReadPeriod / 2 : Millis(0);
  const Millis Since =
      (Clock_.wallNow().time_since_epoch() + Phase) % ReadPeriod;
  NextRead_ = Clock_.now() + (ReadPeriod - Since);
}

void WatchDuty::answered() {
  Failures_ = 0;
  FailingSince_.reset();
}

void WatchDuty::failed() {
  const Millis Longest = std::min(
      FirstRetry * (1U << std::min(Failures_, GreatestShift)), LongestRetry);
  std::uniform_int_distribution<std::int64_t> Jitter(Longest.count() / 2,
                                                     Longest.count());
  RetryAt_ = Clock_.now() + Millis(Jitter(Random_));
  ++Failures_;
  if (!FailingSince_)
    FailingSince_ = Clock_.now();
}

void WatchDuty::onListed(std::optional<std::uint64_t> Revision) {
  Listing_ = false;
  Waiting_.reset();
  if (!Revision)
    return failed();
  answered();
  Revision_ = Revision;
}

void WatchDuty::onWatched(std::optional<std::uint64_t> Revision) {
  Watching_ = false;
  if (!Revision)
    return failed();
  answered();
  Revision_ = Revision;
}

void WatchDuty::onTooOld() {
  Watching_ = false;
  answered();
  Revision_.reset();
}

void WatchDuty::onRead(bool Answered) {
  Reading_ = false;
  Waiting_.reset();
  if (Answered)
    answered();
  else
    failed();
}

FollowerActions WatchDuty::tick() {
  FollowerActions Out;
  if (!OnDuty_)
    return Out;
  const TimePoint Now = Clock_.now();
  const bool MayTry = Now >= RetryAt_;
  if (MayTry && !Revision_ && !Listing_) {
    Listing_ = true;
    Waiting_ = Now;
    Out.emplace_back(ListManifests());
  }
  if (MayTry && Revision_ && !Watching_) {
    Watching_ = true;
    Out.emplace_back(WatchManifests{*Revision_});
  }
  if (MayTry && Now >= NextRead_ && !Reading_ && !Listing_) {
    Reading_ = true;
    Waiting_ = Now;
    scheduleRead();
    Out.emplace_back(ReadManifest());
  }
  return Out;
}

bool WatchDuty::lost() const {
  const TimePoint Now = Clock_.now();
  const bool Failing = FailingSince_ && Failures_ >= LostFailures &&
                       Now - *FailingSince_ >= LostAfter;
  const bool Unanswered = Waiting_ && Now - *Waiting_ >= UnansweredAfter;
  return OnDuty_ && (Failing || Unanswered);
}

} // namespace medlarmoor::config
