#include <medlarmoor/objects/follower.hpp>

#include <algorithm>

namespace medlarmoor::objects {

namespace {

/// Doublings after which the longest backoff is reached in any case.
constexpr unsigned MostDoublings = 8;

} // namespace

Follower::Follower(FollowerTiming Timing, Random Source)
    : Timing_(Timing), Source_(Source) {}

FollowerStep Follower::next(TimePoint Now) const {
  if (const TimePoint Until = std::max(NotBefore_, DeferUntil_); Now < Until)
    return Pause{Until};
  if (ListAfter_)
    return ListCall{*ListAfter_};
  // Answers are never further apart than the longest wait, whatever pause or
  // peer's reading came before this call.
  const Nanos Age = CurrentAsOf_ ? Now - *CurrentAsOf_ : Nanos(0);
  const Millis Wait =
      Timing_.WatchWait_ - std::chrono::duration_cast<Millis>(Age);
  return WatchCall{Revision_, std::max(Wait, Millis(0))};
}

bool Follower::pageRead(bool More, const std::string &LastName,
                        std::uint64_t Revision, TimePoint Sent, TimePoint Now) {
  succeeded();
  NotBefore_ = Now;
  if (!ListAfter_)
    return false;
  if (!ListRevision_) {
    ListRevision_ = Revision;
    ListSent_ = Sent;
  }
  if (More) {
    ListAfter_ = LastName;
    return false;
  }
  // Changes while the list was read come again with the first watch.
  Revision_ = *ListRevision_;
  Changed_ = Revision_;
  CurrentAsOf_ = ListSent_;
  ListAfter_.reset();
  ListRevision_.reset();
  return true;
}

bool Follower::changesRead(bool Any, std::uint64_t Revision, TimePoint Now) {
  succeeded();
  NotBefore_ = Any ? Now + Timing_.Spacing_ : Now;
  if (Revision < Revision_)
    return false;
  Revision_ = Revision;
  if (Any)
    Changed_ = Revision;
  CurrentAsOf_ = Now;
  return true;
}

void Follower::adopt(std::uint64_t Upto, std::uint64_t Changed,
                     TimePoint AsOf) {
  Revision_ = Upto;
  Changed_ = Changed;
  CurrentAsOf_ = AsOf;
  ListAfter_.reset();
  ListRevision_.reset();
}

void Follower::defer(std::uint64_t Upto, TimePoint AsOf, TimePoint Until) {
  Revision_ = std::max(Revision_, Upto);
  CurrentAsOf_ = std::max(CurrentAsOf_.value_or(AsOf), AsOf);
  DeferUntil_ = Until;
}

void Follower::historyLost(TimePoint Now) {
  succeeded();
  ListAfter_ = std::string();
  ListRevision_.reset();
  NotBefore_ = Now;
}

void Follower::failed(TimePoint Now) {
  if (!FailingSince_)
    FailingSince_ = Now;
  if (ListAfter_) {
    // A list that broke off begins again.
    ListAfter_ = std::string();
    ListRevision_.reset();
  }
  const unsigned Doublings = std::min(Failures_++, MostDoublings);
  const Millis Longest = std::min(Timing_.LongestBackoff_,
                                  Timing_.FirstBackoff_ * (1U << Doublings));
  // Half fixed and half drawn, so that instances do not call in step.
  std::uniform_int_distribution<std::int64_t> Jitter(Longest.count() / 2,
                                                     Longest.count());
  NotBefore_ = Now + Millis(Jitter(Source_));
}

bool Follower::storeAway(TimePoint Now) const noexcept {
  // The store may have been away since long before the first call that failed:
  // a peer may have read until then.
  return FailingSince_ && Now - std::min(*FailingSince_, CurrentAsOf_.value_or(
                                                             *FailingSince_)) >=
                              Timing_.Outage_;
}

void Follower::succeeded() noexcept {
  Answered_ = true;
  Failures_ = 0;
  FailingSince_.reset();
}

} // namespace medlarmoor::objects
