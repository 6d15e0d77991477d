#include <medlarmoor/config/watch_duty.hpp>

#include <algorithm>

namespace medlarmoor::config {

namespace {

/// Half of the time in which a change has to be in force, with room for the
/// way from the watcher to the others.
constexpr Millis ReadPeriod{2000};
constexpr Millis FirstRetry{150};
constexpr Millis LongestRetry{1000};
constexpr Millis LostAfter{600};
constexpr std::uint32_t LostFailures = 2;
constexpr std::uint32_t GreatestShift = 4;

} // namespace

WatchDuty::WatchDuty(Clock Time, Random Source)
    : Clock_(std::move(Time)), Random_(Source), RetryAt_(Clock_.now()),
      NextRead_(Clock_.now()) {}

void WatchDuty::set(bool OnDuty) {
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
    Out.emplace_back(ListManifests());
  }
  if (MayTry && Revision_ && !Watching_) {
    Watching_ = true;
    Out.emplace_back(WatchManifests{*Revision_});
  }
  if (MayTry && Now >= NextRead_ && !Reading_ && !Listing_) {
    Reading_ = true;
    NextRead_ = Now + ReadPeriod;
    Out.emplace_back(ReadManifest());
  }
  return Out;
}

bool WatchDuty::lost() const {
  return OnDuty_ && FailingSince_ && Failures_ >= LostFailures &&
         Clock_.now() - *FailingSince_ >= LostAfter;
}

} // namespace medlarmoor::config
