#include <medlarmoor/placement/failure_rates.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

namespace medlarmoor::placement {

namespace {

/// Weight of a new request in a route's failure share and in an upstream's
/// excess. The share reflects the whole service. For an upstream, one failure
/// is enough to prefer others, because requests to a healthy service hardly
/// ever fail.
constexpr double RouteWeight = 0.02;
constexpr double UpstreamWeight = 0.5;
/// An excess below this value may be due to chance and is ignored.
constexpr double SignificantExcess = 0.2;
/// Excess that a failure or an overdue answer adds when another instance
/// reports it, in percent; an overdue answer that this instance sees adds the
/// same. One failure is enough to prefer other upstreams. Overdue answers must
/// be seen twice, because the flow may have moved to another instance. One
/// successful request refutes either kind.
constexpr unsigned FailurePercent = 30;
constexpr unsigned OverduePercent = 15;
constexpr double SharePerPercent = 0.01;
/// Maximum excess that overdue answers alone can cause.
constexpr double MaxOverdueExcess = 0.5;
/// More suspects than this between two calls of takeSuspects() indicate a fault
/// in this instance's own network.
constexpr std::size_t MaxSuspects = 4;
/// Initial half-life of an excess without new failures.
constexpr double HalfLifeSeconds = 10.0;
/// The half-life doubles with each relapse, up to four times the initial value.
constexpr unsigned MaxDoublings = 2;
/// A record is evicted when its excess has decayed below this value.
constexpr double MinRetainedExcess = 0.01;
/// Time after which the record of a route without requests is evicted.
constexpr Seconds RouteRetention{600};

} // namespace

Outcome FailureRates::recordRequest(Endpoint Virtual, affinity::Tag Upstream,
                                    std::uint32_t ReceivedBytes,
                                    TimePoint Now) {
  RouteStats &Stats = Routes_[Virtual];
  Outcome Result = Outcome::Answered;
  if (ReceivedBytes == 0) {
    Result = Outcome::Unanswered;
  } else {
    if (Stats.AnswerSize_.unusuallyShort(ReceivedBytes))
      Result = Outcome::ShortAnswer;
    Stats.AnswerSize_.add(ReceivedBytes);
  }
  recordSample(Stats, Upstream, Result != Outcome::Answered, Now);
  return Result;
}

void FailureRates::recordOverdue(affinity::Tag Upstream, TimePoint Now) {
  Record &Entry = Records_[Upstream];
  const double Remaining = decayedExcess(Entry, Now);
  if (Remaining < SignificantExcess)
    Suspects_.push_back({Upstream, OverduePercent});
  setExcess(
      Entry,
      std::max(Remaining, std::min(Remaining + OverduePercent * SharePerPercent,
                                   MaxOverdueExcess)),
      Remaining, Now);
}

bool FailureRates::recordReport(const Suspect &Report, TimePoint Now) {
  Record &Entry = Records_[Report.Upstream_];
  const double Remaining = decayedExcess(Entry, Now);
  if (Remaining >= SignificantExcess)
    return false;
  setExcess(Entry,
            Remaining + std::min(Report.ExcessPercent_, FailurePercent) *
                            SharePerPercent,
            Remaining, Now);
  return Entry.Excess_ >= SignificantExcess;
}

std::vector<Suspect> FailureRates::takeSuspects() {
  std::vector<Suspect> Taken = std::exchange(Suspects_, {});
  if (Taken.size() > MaxSuspects)
    Taken.clear();
  return Taken;
}

void FailureRates::recordSample(RouteStats &Stats, affinity::Tag Upstream,
                                bool Failed, TimePoint Now) {
  const double Sample = Failed ? 1.0 : 0.0;
  Stats.FailureShare_ += RouteWeight * (Sample - Stats.FailureShare_);
  Stats.UpdatedAt_ = Now;
  if (!Failed && !Records_.contains(Upstream))
    return;
  Record &Entry = Records_[Upstream];
  const double Remaining = decayedExcess(Entry, Now);
  const double Excess =
      std::max(0.0, Remaining + UpstreamWeight *
                                    (Sample - Stats.FailureShare_ - Remaining));
  if (Failed && Remaining < SignificantExcess && Excess >= SignificantExcess)
    Suspects_.push_back({Upstream, FailurePercent});
  if (!Failed) {
    Entry.Relapses_ = 0;
    Entry.AvoidedSinceSuccess_ = false;
  }
  setExcess(Entry, Excess, Remaining, Now);
}

void FailureRates::setExcess(Record &Entry, double Excess, double Remaining,
                             TimePoint Now) {
  if (Entry.AvoidedSinceSuccess_ && Remaining < SignificantExcess &&
      Excess >= SignificantExcess)
    Entry.Relapses_ = std::min(Entry.Relapses_ + 1, MaxDoublings);
  Entry.Excess_ = Excess;
  Entry.UpdatedAt_ = Now;
  Entry.AvoidedSinceSuccess_ =
      Entry.AvoidedSinceSuccess_ || Excess >= SignificantExcess;
}

double FailureRates::decayedExcess(const Record &Entry,
                                   TimePoint Now) noexcept {
  const double Age =
      std::chrono::duration<double>(Now - Entry.UpdatedAt_).count();
  const double HalfLife = HalfLifeSeconds * (1U << Entry.Relapses_);
  return Entry.Excess_ * std::exp2(-Age / HalfLife);
}

double FailureRates::excess(affinity::Tag Upstream,
                            TimePoint Now) const noexcept {
  const auto Found = Records_.find(Upstream);
  if (Found == Records_.end())
    return 0;
  const double Remaining = decayedExcess(Found->second, Now);
  return Remaining < SignificantExcess ? 0 : Remaining;
}

void FailureRates::expire(TimePoint Now) {
  std::erase_if(Records_, [Now](const auto &Item) {
    return decayedExcess(Item.second, Now) < MinRetainedExcess;
  });
  std::erase_if(Routes_, [Now](const auto &Item) {
    return Now - Item.second.UpdatedAt_ > RouteRetention;
  });
}

} // namespace medlarmoor::placement
