#include <medlarmoor/placement/failure_rates.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

namespace medlarmoor::placement {

namespace {

/// Weight of a new request in a route's share and in an upstream's excess. The
/// share follows the whole service; one failure is enough to try others first,
/// since requests to a healthy service hardly ever fail.
constexpr double RouteWeight = 0.02;
constexpr double UpstreamWeight = 0.5;
/// An excess below this may be chance.
constexpr double ClearExcess = 0.2;
/// What another instance's word is worth: it fades in half the time that an own
/// failure takes, and one success refutes it.
constexpr double ReportedExcess = 0.3;
/// More new suspects than this between two reports point to this instance's
/// own network.
constexpr std::size_t MostSuspects = 4;
/// Time in which an excess halves without new failures.
constexpr double HalfLifeSeconds = 10.0;
/// The half-life doubles with each repeat, up to four times the first.
constexpr unsigned MostDoublings = 2;
/// A record is dropped when less than this is left of its excess.
constexpr double Forgotten = 0.01;
/// A route without requests for this long is forgotten.
constexpr Seconds RouteMemory{600};

} // namespace

Outcome FailureRates::ended(Endpoint Virtual, affinity::Tag Upstream,
                            std::uint32_t Received, TimePoint Now) {
  Route &Of = Routes_[Virtual];
  Outcome Result = Outcome::Answered;
  if (Received == 0) {
    Result = Outcome::Unanswered;
  } else {
    if (Of.Sizes_.unusuallyShort(Received))
      Result = Outcome::ShortAnswer;
    Of.Sizes_.add(Received);
  }
  count(Of, Upstream, Result != Outcome::Answered, Now);
  return Result;
}

void FailureRates::overdue(Endpoint Virtual, affinity::Tag Upstream,
                           TimePoint Now) {
  count(Routes_[Virtual], Upstream, true, Now);
}

void FailureRates::count(Route &Of, affinity::Tag Upstream, bool Failed,
                         TimePoint Now) {
  const double Sample = Failed ? 1.0 : 0.0;
  Of.Failures_ += RouteWeight * (Sample - Of.Failures_);
  Of.UpdatedAt_ = Now;
  if (!Failed && !Records_.contains(Upstream))
    return;
  Record &Each = Records_[Upstream];
  const double Before = faded(Each, Now);
  if (Failed)
    repeat(Each, Before);
  else
    Each.Repeats_ = 0;
  Each.Excess_ =
      std::max(0.0, Before + UpstreamWeight * (Sample - Of.Failures_ - Before));
  Each.UpdatedAt_ = Now;
  if (Before < ClearExcess && Each.Excess_ >= ClearExcess)
    Suspects_.push_back(Upstream);
}

bool FailureRates::reported(affinity::Tag Upstream, TimePoint Now) {
  Record &Each = Records_[Upstream];
  const double Before = faded(Each, Now);
  if (Before >= ClearExcess)
    return false;
  repeat(Each, Before);
  Each.Excess_ = ReportedExcess;
  Each.UpdatedAt_ = Now;
  return true;
}

std::vector<affinity::Tag> FailureRates::takeSuspects() {
  std::vector<affinity::Tag> Out = std::exchange(Suspects_, {});
  if (Out.size() > MostSuspects)
    Out.clear();
  return Out;
}

void FailureRates::repeat(Record &Each, double Left) noexcept {
  if (Each.UpdatedAt_ != TimePoint() && Left < ClearExcess)
    Each.Repeats_ = std::min(Each.Repeats_ + 1, MostDoublings);
}

double FailureRates::faded(const Record &Each, TimePoint Now) noexcept {
  const double Age =
      std::chrono::duration<double>(Now - Each.UpdatedAt_).count();
  const double HalfLife = HalfLifeSeconds * (1U << Each.Repeats_);
  return Each.Excess_ * std::exp2(-Age / HalfLife);
}

double FailureRates::excess(affinity::Tag Upstream,
                            TimePoint Now) const noexcept {
  const auto Found = Records_.find(Upstream);
  if (Found == Records_.end())
    return 0;
  const double Left = faded(Found->second, Now);
  return Left < ClearExcess ? 0 : Left;
}

void FailureRates::expire(TimePoint Now) {
  std::erase_if(Records_, [Now](const auto &Each) {
    return faded(Each.second, Now) < Forgotten;
  });
  std::erase_if(Routes_, [Now](const auto &Each) {
    return Now - Each.second.UpdatedAt_ > RouteMemory;
  });
}

} // namespace medlarmoor::placement
