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
  if (Now < NotBefore_)
    return Pause{NotBefore_};
  if (ListAfter_)
    return ListCall{*ListAfter_};
  return WatchCall{Revision_, Timing_.WatchWait_};
}

bool Follower::pageRead(bool More, const std::string &LastName,
                        std::uint64_t Revision, TimePoint Sent, TimePoint Now) {
  succeeded();
  NotBefore_ = Now;
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
  CurrentAsOf_ = ListSent_;
  ListAfter_.reset();
  ListRevision_.reset();
  return true;
}

void Follower::changesRead(bool Any, std::uint64_t Revision, TimePoint Now) {
  succeeded();
  Revision_ = std::max(Revision_, Revision);
  CurrentAsOf_ = Now;
  NotBefore_ = Any ? Now + Timing_.Spacing_ : Now;
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
  return FailingSince_ && Now - *FailingSince_ >= Timing_.Outage_;
}

void Follower::succeeded() noexcept {
  Failures_ = 0;
  FailingSince_.reset();
}

} // namespace medlarmoor::objects
