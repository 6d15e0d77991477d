#include <medlarmoor/placement/silence_detector.hpp>

#include <algorithm>
#include <utility>

namespace medlarmoor::placement {

namespace {

/// Number of unanswered handshakes that mark an upstream as silent, within
/// TimeoutLifetime. Lost packets rarely cause as many.
constexpr std::size_t MinTimeouts = 3;
constexpr Millis TimeoutLifetime{1500};
/// Fewer ones, within a longer time, suffice if a client has repeated a request
/// within TimeoutLifetime.
constexpr std::size_t MinTimeoutsWithRequest = 2;
constexpr Millis TimeoutRetention{5000};
/// Maximum number of timeouts that count for each instance, so that one whose
/// own links fail does not mark upstreams for all others.
constexpr std::size_t MaxTimeoutsPerObserver = 2;
/// How long an upstream without new evidence counts as silent. The store stops
/// listing a crashed upstream at about that time.
constexpr Millis SilenceLifetime{4000};
/// An upstream that has answered within this time is not silent, whatever the
/// evidence: clients may leave handshakes unfinished, and a full upstream that
/// answers requests will soon have room again.
constexpr Millis MinSilence{250};
/// Upstreams answer this instance if one has done so within this time.
constexpr Millis ResponseLifetime{300};
/// Maximum number of upstreams in one report.
constexpr std::size_t MaxReports = 32;

} // namespace

void SilenceDetector::recordTimeout(affinity::Tag Upstream, TimePoint Now) {
  addTimeout(Upstream, Endpoint(), Now);
  if (Reports_.size() < MaxReports &&
      std::find(Reports_.begin(), Reports_.end(), Upstream) == Reports_.end())
    Reports_.push_back(Upstream);
}

void SilenceDetector::recordRepeatedRequest(affinity::Tag Upstream,
                                            TimePoint Now) {
  Record &Evidence = Records_[Upstream];
  Evidence.RepeatedRequest_ = Now;
  update(Evidence, Now);
}

void SilenceDetector::recordReport(affinity::Tag Upstream, Endpoint Peer,
                                   TimePoint Now) {
  addTimeout(Upstream, Peer, Now);
}

void SilenceDetector::recordResponse(affinity::Tag Upstream, TimePoint Now) {
  LastResponse_ = Now;
  Record &Evidence = Records_[Upstream];
  Evidence = {};
  Evidence.LastResponse_ = Evidence.UpdatedAt_ = Now;
}

void SilenceDetector::addTimeout(affinity::Tag Upstream, Endpoint Observer,
                                 TimePoint Now) {
  Record &Evidence = Records_[Upstream];
  std::vector<Timeout> &Timeouts = Evidence.Timeouts_;
  std::erase_if(Timeouts, [Now](const Timeout &Earlier) {
    return Now - Earlier.At_ >= TimeoutRetention;
  });
  const auto FromObserver = [Observer](const Timeout &Earlier) {
    return Earlier.Observer_ == Observer;
  };
  if (static_cast<std::size_t>(
          std::count_if(Timeouts.begin(), Timeouts.end(), FromObserver)) >=
      MaxTimeoutsPerObserver)
    Timeouts.erase(
        std::find_if(Timeouts.begin(), Timeouts.end(), FromObserver));
  Timeouts.push_back({Observer, Now});
  update(Evidence, Now);
}

void SilenceDetector::update(Record &Evidence, TimePoint Now) {
  Evidence.UpdatedAt_ = Now;
  const auto CountWithin = [&](Millis Lifetime) {
    return static_cast<std::size_t>(std::count_if(
        Evidence.Timeouts_.begin(), Evidence.Timeouts_.end(),
        [&](const Timeout &Earlier) { return Now - Earlier.At_ < Lifetime; }));
  };
  const bool Repeated = Evidence.RepeatedRequest_ &&
                        Now - *Evidence.RepeatedRequest_ < TimeoutLifetime;
  if (CountWithin(TimeoutLifetime) >= MinTimeouts ||
      (Repeated && CountWithin(TimeoutRetention) >= MinTimeoutsWithRequest))
    Evidence.MarkedAt_ = Now;
}

bool SilenceDetector::unanswered(const Record &Evidence,
                                 TimePoint Now) const noexcept {
  return (!Evidence.LastResponse_ ||
          Now - *Evidence.LastResponse_ >= MinSilence) &&
         LastResponse_ && Now - *LastResponse_ < ResponseLifetime;
}

bool SilenceDetector::silent(affinity::Tag Upstream,
                             TimePoint Now) const noexcept {
  const auto Found = Records_.find(Upstream);
  return Found != Records_.end() && Found->second.MarkedAt_ &&
         Now - *Found->second.MarkedAt_ < SilenceLifetime &&
         unanswered(Found->second, Now);
}

std::vector<affinity::Tag> SilenceDetector::takeReports() {
  return std::exchange(Reports_, {});
}

void SilenceDetector::expire(TimePoint Now) {
  std::erase_if(Records_, [Now](const auto &Item) {
    return Now - Item.second.UpdatedAt_ >= TimeoutRetention;
  });
}

} // namespace medlarmoor::placement
