#include <medlarmoor/placement/load_reports.hpp>

#include <algorithm>
#include <chrono>
#include <iterator>
#include <utility>

namespace medlarmoor::placement {

namespace {

/// A report counts in full for this long: four times the interval at which
/// peers send them, so that single losses have no effect.
constexpr Millis FullTime{1000};
/// After FullTime, a report decays to zero within this time.
constexpr Millis DecayTime{2000};
/// Weight of a report that counts in full; weights are integers.
constexpr std::int64_t FullWeight = 256;
/// Maximum number of peers with a report. It bounds the memory if datagrams
/// have forged senders.
constexpr std::size_t MaxPeers = 256;

/// Returns the weight of a report, rounded up.
std::int64_t weight(TimePoint::duration Age) noexcept {
  if (Age <= FullTime)
    return FullWeight;
  if (Age >= FullTime + DecayTime)
    return 0;
  const TimePoint::duration Left = FullTime + DecayTime - Age;
  const TimePoint::duration Whole = DecayTime;
  return (Left.count() * FullWeight + Whole.count() - 1) / Whole.count();
}

} // namespace

void LoadReports::record(Endpoint Peer, std::vector<UpstreamLoad> Loads,
                         TimePoint Now) {
  const auto Found = Reports_.find(Peer);
  if (Found != Reports_.end()) {
    setWeight(Found->second, 0);
    if (Loads.empty())
      Reports_.erase(Found);
  } else if (Reports_.size() >= MaxPeers) {
    return;
  }
  if (Loads.empty())
    return;
  NewestAt_ = Now;
  auto &Known = Reports_[Peer];
  Known.Loads_ = std::move(Loads);
  Known.ReceivedAt_ = Now;
  setWeight(Known, FullWeight);
}

double LoadReports::load(affinity::Tag Upstream, TimePoint Now) const noexcept {
  constexpr double TenthsPerFlow = 10;
  // After a pause, packets are handled before expire() is called again.
  if (Sums_.empty() || Now - NewestAt_ >= FullTime + DecayTime)
    return 0;
  const auto Found = Sums_.find(Upstream);
  return Found == Sums_.end() ? 0
                              : static_cast<double>(Found->second) /
                                    (FullWeight * TenthsPerFlow);
}

std::optional<Millis> LoadReports::age(TimePoint Now) const noexcept {
  std::optional<TimePoint::duration> Oldest;
  for (const auto &[Peer, Known] : Reports_)
    if (const TimePoint::duration Age = Now - Known.ReceivedAt_;
        weight(Age) > 0)
      Oldest = std::max(Oldest.value_or(Age), Age);
  if (!Oldest)
    return std::nullopt;
  return std::chrono::duration_cast<Millis>(*Oldest);
}

void LoadReports::expire(TimePoint Now) {
  for (auto It = Reports_.begin(); It != Reports_.end();) {
    setWeight(It->second, weight(Now - It->second.ReceivedAt_));
    It = It->second.Weight_ == 0 ? Reports_.erase(It) : std::next(It);
  }
}

void LoadReports::setWeight(Report &Known, std::int64_t Weight) {
  const std::int64_t Change = Weight - Known.Weight_;
  if (Change == 0)
    return;
  for (const auto &[Upstream, Tenths] : Known.Loads_) {
    std::int64_t &Sum = Sums_[Upstream];
    Sum += Change * std::int64_t{Tenths};
    if (Sum == 0)
      Sums_.erase(Upstream);
  }
  Known.Weight_ = Weight;
}

} // namespace medlarmoor::placement
