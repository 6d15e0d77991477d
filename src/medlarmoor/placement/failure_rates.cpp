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
/// What another instance's word is worth. A failure it saw is enough to try
/// other upstreams first; overdue answers take two, as flows move between
/// instances. One success refutes either.
constexpr unsigned FailurePercent = 30;
constexpr unsigned OverduePercent = 15;
constexpr double Percent = 0.01;
/// Overdue answers alone raise an excess no further.
constexpr double MostOverdue = 0.5;
/// More suspects than this between two reports point to this instance's
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

Outcome FailureRates::recordRequest(Endpoint Virtual, affinity::Tag Upstream,
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

void FailureRates::recordOverdue(affinity::Tag Upstream, TimePoint Now) {
  Record &Each = Records_[Upstream];
  const double Left = faded(Each, Now);
  if (Left < ClearExcess)
    Suspects_.push_back({Upstream, OverduePercent});
  update(Each,
         std::max(Left, std::min(Left + OverduePercent * Percent, MostOverdue)),
         Left, Now);
}

bool FailureRates::recordReport(const Suspect &Report, TimePoint Now) {
  Record &Each = Records_[Report.Upstream_];
  const double Left = faded(Each, Now);
  if (Left >= ClearExcess)
    return false;
  update(Each, Left + std::min(Report.ExcessPercent_, FailurePercent) * Percent,
         Left, Now);
  return Each.Excess_ >= ClearExcess;
}

std::vector<Suspect> FailureRates::takeSuspects() {
  std::vector<Suspect> Out = std::exchange(Suspects_, {});
  if (Out.size() > MostSuspects)
    Out.clear();
  return Out;
}

void FailureRates::count(Route &Of, affinity::Tag Upstream, bool Failed,
                         TimePoint Now) {
  const double Sample = Failed ? 1.0 : 0.0;
  Of.Failures_ += RouteWeight * (Sample - Of.Failures_);
  Of.UpdatedAt_ = Now;
  if (!Failed && !Records_.contains(Upstream))
    return;
  Record &Each = Records_[Upstream];
  const double Left = faded(Each, Now);
  const double Excess =
      std::max(0.0, Left + UpstreamWeight * (Sample - Of.Failures_ - Left));
  if (Failed && Left < ClearExcess && Excess >= ClearExcess)
    Suspects_.push_back({Upstream, FailurePercent});
  if (!Failed) {
    Each.Repeats_ = 0;
    Each.Avoided_ = false;
  }
  update(Each, Excess, Left, Now);
}

void FailureRates::update(Record &Each, double Excess, double Left,
                          TimePoint Now) {
  if (Each.Avoided_ && Left < ClearExcess && Excess >= ClearExcess)
    Each.Repeats_ = std::min(Each.Repeats_ + 1, MostDoublings);
  Each.Excess_ = Excess;
  Each.UpdatedAt_ = Now;
  Each.Avoided_ = Each.Avoided_ || Excess >= ClearExcess;
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
