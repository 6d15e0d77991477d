#include <medlarmoor/upstream/slot_pool.hpp>

#include <algorithm>
#include <cmath>

namespace medlarmoor::upstream {

namespace {

/// Successes after which an upstream counts as warm.
constexpr std::uint32_t RampSuccesses = 8;
/// A cold upstream ranks like one that is this many times slower.
constexpr double ColdPenalty = 3.0;
constexpr double TimeWeight = 0.2;
constexpr double AccuracyWeight = 0.2;
/// Slower than this times the typical time does not rank lower still.
constexpr double SlowestRank = 16.0;
/// Ranks closer than this share count as equal.
constexpr double RankTolerance = 0.3;
constexpr double ReportLifeSeconds = 1.0;
/// A report of draining counts for this long.
constexpr Millis DrainReportLife = Seconds(3);
constexpr Millis LeastBackOff{25};
constexpr Millis LongestBackOff{1000};

double seconds(Nanos Time) {
  return std::chrono::duration<double>(Time).count();
}

} // namespace

SlotPool::SlotPool(PoolPolicy Policy, Clock Time, Random Source)
    : Policy_(Policy), Time_(std::move(Time)), Source_(Source) {}

void SlotPool::configure(std::span<const config::Upstream> Upstreams) {
  const bool First = Entries_.empty();
  for (Entry &Each : Entries_)
    Each.Present_ = false;
  for (const config::Upstream &Each : Upstreams) {
    if (Entry *Known = find(Each.Name_)) {
      Known->Upstream_ = Each;
      Known->Present_ = true;
    } else {
      Entry &Fresh = Entries_.emplace_back();
      Fresh.Upstream_ = Each;
      Fresh.Successes_ = First ? RampSuccesses : 0;
    }
  }
  std::erase_if(Entries_, [](const Entry &Each) {
    return !Each.Present_ && Each.Running_ == 0;
  });
}

SlotPool::Entry *SlotPool::find(const UpstreamName &Name) {
  for (Entry &Each : Entries_)
    if (Each.Upstream_.Name_ == Name)
      return &Each;
  return nullptr;
}

bool SlotPool::takesWork(const Entry &Each) const {
  const bool Draining = Each.Reported_ &&
                        Each.Report_.State_ == ServingState::Draining &&
                        Time_.now() - *Each.Reported_ < DrainReportLife;
  return Each.Present_ && !Each.Upstream_.Drain_ && !Draining;
}

std::uint32_t SlotPool::allowed(const Entry &Each) const {
  const bool Cold = Policy_.Ramp_ && Each.Successes_ < RampSuccesses;
  return Cold ? std::min(1U, Each.Upstream_.Slots_) : Each.Upstream_.Slots_;
}

double SlotPool::othersLoad(const Entry &Each) const {
  if (!Policy_.Reports_ || !Each.Reported_)
    return 0;
  const double Others =
      double(Each.Report_.Running_) + Each.Report_.Queued_ - Each.Running_;
  const double Age =
      seconds(Time_.now() - *Each.Reported_) + seconds(Each.Report_.Age_);
  const double Freshness = std::exp(-Age / ReportLifeSeconds);
  const double Most = 4.0 * Each.Upstream_.Slots_;
  return std::clamp(Others, 0.0, Most) * Freshness * Each.Accuracy_;
}

double SlotPool::score(const Entry &Each, double Typical) const {
  double Rank = (Each.Running_ + 1 + othersLoad(Each)) /
                (Each.Upstream_.Slots_ * Each.Upstream_.Weight_);
  if (Policy_.Speed_ && Typical > 0 && Each.Seconds_ > 0)
    Rank *= std::clamp(Each.Seconds_ / Typical, 1.0, SlowestRank);
  if (Policy_.Ramp_ && Each.Successes_ < RampSuccesses)
    Rank *= 1 + ColdPenalty * (RampSuccesses - Each.Successes_) / RampSuccesses;
  return Rank;
}

double SlotPool::typicalSeconds() const {
  std::vector<double> Known;
  for (const Entry &Each : Entries_)
    if (Each.Seconds_ > 0)
      Known.push_back(Each.Seconds_);
  if (Known.empty())
    return 0;
  const auto Middle = Known.begin() + static_cast<long>(Known.size() / 2);
  std::nth_element(Known.begin(), Middle, Known.end());
  return *Middle;
}

std::optional<config::Upstream> SlotPool::acquire() {
  const TimePoint Now = Time_.now();
  const double Typical = typicalSeconds();
  std::vector<std::pair<double, Entry *>> Free;
  for (Entry &Each : Entries_) {
    const bool Open =
        takesWork(Each) && Each.Running_ < allowed(Each) &&
        Now >= Each.BackOffUntil_ &&
        allows(Policy_.Breaker_, Each.Health_, Each.Running_, Now);
    if (Open)
      Free.emplace_back(score(Each, Typical), &Each);
  }
  if (Free.empty())
    return std::nullopt;
  const double Best = std::min_element(Free.begin(), Free.end())->first;
  std::erase_if(Free, [Best](const auto &Each) {
    return Each.first > Best * (1 + RankTolerance);
  });
  std::uniform_int_distribution<std::size_t> Any(0, Free.size() - 1);
  Entry &Chosen = *Free[Any(Source_)].second;
  ++Chosen.Running_;
  return Chosen.Upstream_;
}

void SlotPool::learn(Entry &Of, double Seconds) {
  const bool SaidBusy = othersLoad(Of) > 0.5;
  const bool WasBusy = Of.Seconds_ > 0 && Seconds > 1.5 * Of.Seconds_;
  if (SaidBusy)
    Of.Accuracy_ += AccuracyWeight * ((WasBusy ? 1.0 : 0.0) - Of.Accuracy_);
  Of.Seconds_ = Of.Seconds_ > 0
                    ? Of.Seconds_ + TimeWeight * (Seconds - Of.Seconds_)
                    : Seconds;
}

void SlotPool::backOff(Entry &From) {
  const unsigned Doublings = std::min(From.ShedInRow_, 6U);
  const Millis Longest =
      std::min(LeastBackOff * (1 << Doublings), LongestBackOff);
  std::uniform_int_distribution<std::int64_t> Jitter(Longest.count() / 2,
                                                     Longest.count());
  From.BackOffUntil_ = Time_.now() + Millis(Jitter(Source_));
  ++From.ShedInRow_;
}

void SlotPool::release(const UpstreamName &Name, AttemptEnd End,
                       Nanos Elapsed) {
  Entry *Of = find(Name);
  if (!Of)
    return;
  --Of->Running_;
  const bool Refused =
      End == AttemptEnd::Shed || End == AttemptEnd::NotConnected;
  if (End == AttemptEnd::Whole) {
    learn(*Of, seconds(Elapsed));
    ++Of->Successes_;
    Of->ShedInRow_ = 0;
  }
  if (Refused)
    backOff(*Of);
  // A refusal has its back-off time; counting it as a failure too would keep
  // work away for longer than the upstream sheds.
  if (End == AttemptEnd::Whole || End == AttemptEnd::Failed)
    note(Of->Health_, End != AttemptEnd::Whole, Time_.now());
  if (End == AttemptEnd::NotConnected)
    Of->Successes_ = 0;
  std::erase_if(Entries_, [](const Entry &Each) {
    return !Each.Present_ && Each.Running_ == 0;
  });
}

void SlotPool::report(const UpstreamName &Name, const LoadReport &Report) {
  Entry *Of = find(Name);
  if (!Of)
    return;
  Of->Report_ = Report;
  Of->Reported_ = Time_.now();
  if (Report.State_ == ServingState::Warming)
    Of->Successes_ = std::min(Of->Successes_, RampSuccesses / 2);
}

std::uint32_t SlotPool::slots() const {
  std::uint32_t Sum = 0;
  for (const Entry &Each : Entries_)
    if (takesWork(Each))
      Sum += Each.Upstream_.Slots_;
  return Sum;
}

std::uint32_t SlotPool::running() const {
  std::uint32_t Sum = 0;
  for (const Entry &Each : Entries_)
    Sum += Each.Running_;
  return Sum;
}

std::uint32_t SlotPool::running(const UpstreamName &Name) const {
  for (const Entry &Each : Entries_)
    if (Each.Upstream_.Name_ == Name)
      return Each.Running_;
  return 0;
}

Nanos SlotPool::typicalTime() const {
  return std::chrono::duration_cast<Nanos>(
      std::chrono::duration<double>(typicalSeconds()));
}

} // namespace medlarmoor::upstream
