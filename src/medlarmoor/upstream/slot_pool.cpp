#include <medlarmoor/upstream/slot_pool.hpp>

#include <algorithm>
#include <cmath>

namespace medlarmoor::upstream {

namespace {

/// Number of successes after which an upstream counts as warm.
constexpr std::uint32_t WarmSuccesses = 8;
/// Maximum increase of the score of a cold upstream, as a multiple of its
/// score.
constexpr double ColdPenalty = 3.0;
/// Weights of the newest sample in the moving averages.
constexpr double TimeWeight = 0.2;
constexpr double AccuracyWeight = 0.2;
/// Upper limit of the factor by which slowness relative to the median service
/// time increases the score.
constexpr double MaxSlowness = 16.0;
/// Scores that exceed the best one by at most this share count as equal.
constexpr double RankTolerance = 0.3;
constexpr double ReportDecaySeconds = 1.0;
/// How long a report of draining remains valid.
constexpr Millis DrainReportLifetime = Seconds(3);
constexpr Millis MinBackoff{25};
constexpr Millis MaxBackoff{1000};

double seconds(Nanos Time) {
  return std::chrono::duration<double>(Time).count();
}

} // namespace

SlotPool::SlotPool(PoolPolicy Policy, Clock Time, Random Generator)
    : Policy_(Policy), Time_(std::move(Time)), Random_(Generator) {}

void SlotPool::configure(std::span<const config::Upstream> Upstreams) {
  const bool FirstCall = Upstreams_.empty();
  for (PooledUpstream &Target : Upstreams_)
    Target.Listed_ = false;
  for (const config::Upstream &Configured : Upstreams) {
    if (PooledUpstream *Existing = find(Configured.Name_)) {
      Existing->Upstream_ = Configured;
      Existing->Listed_ = true;
    } else {
      PooledUpstream &Added = Upstreams_.emplace_back();
      Added.Upstream_ = Configured;
      Added.Successes_ = FirstCall ? WarmSuccesses : 0;
    }
  }
  std::erase_if(Upstreams_, [](const PooledUpstream &Candidate) {
    return !Candidate.Listed_ && Candidate.Running_ == 0;
  });
}

SlotPool::PooledUpstream *SlotPool::find(const UpstreamName &Name) {
  for (PooledUpstream &Target : Upstreams_)
    if (Target.Upstream_.Name_ == Name)
      return &Target;
  return nullptr;
}

bool SlotPool::acceptsWork(const PooledUpstream &Target) const {
  const bool Draining = Target.ReportedAt_ &&
                        Target.Report_.State_ == ServingState::Draining &&
                        Time_.now() - *Target.ReportedAt_ < DrainReportLifetime;
  return Target.Listed_ && !Target.Upstream_.Drain_ && !Draining;
}

std::uint32_t SlotPool::allowedSlots(const PooledUpstream &Target) const {
  const bool Cold = Policy_.SlowStart_ && Target.Successes_ < WarmSuccesses;
  return Cold ? std::min(1U, Target.Upstream_.Slots_) : Target.Upstream_.Slots_;
}

double SlotPool::othersLoad(const PooledUpstream &Target) const {
  if (!Policy_.RankByReports_ || !Target.ReportedAt_)
    return 0;
  const double Others = double(Target.Report_.Running_) +
                        Target.Report_.Queued_ - Target.Running_;
  const double Age =
      seconds(Time_.now() - *Target.ReportedAt_) + seconds(Target.Report_.Age_);
  const double Freshness = std::exp(-Age / ReportDecaySeconds);
  const double MaxLoad = 4.0 * Target.Upstream_.Slots_;
  return std::clamp(Others, 0.0, MaxLoad) * Freshness * Target.ReportAccuracy_;
}

double SlotPool::score(const PooledUpstream &Target,
                       double MedianSeconds) const {
  double Score = (Target.Running_ + 1 + othersLoad(Target)) /
                 (Target.Upstream_.Slots_ * Target.Upstream_.Weight_);
  if (Policy_.RankBySpeed_ && MedianSeconds > 0 && Target.ServiceSeconds_ > 0)
    Score *=
        std::clamp(Target.ServiceSeconds_ / MedianSeconds, 1.0, MaxSlowness);
  if (Policy_.SlowStart_ && Target.Successes_ < WarmSuccesses)
    Score *=
        1 + ColdPenalty * (WarmSuccesses - Target.Successes_) / WarmSuccesses;
  return Score;
}

double SlotPool::medianSeconds() const {
  std::vector<double> Times;
  for (const PooledUpstream &Target : Upstreams_)
    if (Target.ServiceSeconds_ > 0)
      Times.push_back(Target.ServiceSeconds_);
  if (Times.empty())
    return 0;
  const auto Median = Times.begin() + static_cast<long>(Times.size() / 2);
  std::nth_element(Times.begin(), Median, Times.end());
  return *Median;
}

std::optional<config::Upstream> SlotPool::acquire() {
  const TimePoint Now = Time_.now();
  const double MedianSeconds = medianSeconds();
  std::vector<std::pair<double, PooledUpstream *>> Free;
  for (PooledUpstream &Target : Upstreams_) {
    const bool Available =
        acceptsWork(Target) && Target.Running_ < allowedSlots(Target) &&
        Now >= Target.BackoffUntil_ &&
        allows(Policy_.Breaker_, Target.Health_, Target.Running_, Now);
    if (Available)
      Free.emplace_back(score(Target, MedianSeconds), &Target);
  }
  if (Free.empty())
    return std::nullopt;
  const double Best = std::min_element(Free.begin(), Free.end())->first;
  std::erase_if(Free, [Best](const auto &Candidate) {
    return Candidate.first > Best * (1 + RankTolerance);
  });
  std::uniform_int_distribution<std::size_t> Choice(0, Free.size() - 1);
  PooledUpstream &Chosen = *Free[Choice(Random_)].second;
  ++Chosen.Running_;
  return Chosen.Upstream_;
}

void SlotPool::recordServiceTime(PooledUpstream &Target, double Seconds) {
  const bool ReportedBusy = othersLoad(Target) > 0.5;
  const bool ObservedBusy =
      Target.ServiceSeconds_ > 0 && Seconds > 1.5 * Target.ServiceSeconds_;
  if (ReportedBusy)
    Target.ReportAccuracy_ +=
        AccuracyWeight * ((ObservedBusy ? 1.0 : 0.0) - Target.ReportAccuracy_);
  Target.ServiceSeconds_ =
      Target.ServiceSeconds_ > 0
          ? Target.ServiceSeconds_ +
                TimeWeight * (Seconds - Target.ServiceSeconds_)
          : Seconds;
}

void SlotPool::startBackoff(PooledUpstream &Target) {
  const unsigned Doublings = std::min(Target.ConsecutiveRefusals_, 6U);
  const Millis MaxDelay = std::min(MinBackoff * (1 << Doublings), MaxBackoff);
  std::uniform_int_distribution<std::int64_t> Jitter(MaxDelay.count() / 2,
                                                     MaxDelay.count());
  Target.BackoffUntil_ = Time_.now() + Millis(Jitter(Random_));
  ++Target.ConsecutiveRefusals_;
}

void SlotPool::release(const UpstreamName &Name, AttemptResult End,
                       Nanos Elapsed) {
  PooledUpstream *Target = find(Name);
  if (!Target)
    return;
  --Target->Running_;
  const bool Refused =
      End == AttemptResult::Shed || End == AttemptResult::NotConnected;
  if (End == AttemptResult::Complete) {
    recordServiceTime(*Target, seconds(Elapsed));
    ++Target->Successes_;
    Target->ConsecutiveRefusals_ = 0;
  }
  if (Refused)
    startBackoff(*Target);
  // A refusal already starts a backoff. Counting it as a failure as well would
  // withhold work for longer than the upstream sheds it.
  if (End == AttemptResult::Complete || End == AttemptResult::Failed)
    recordSample(Target->Health_, End != AttemptResult::Complete, Time_.now());
  if (End == AttemptResult::NotConnected)
    Target->Successes_ = 0;
  std::erase_if(Upstreams_, [](const PooledUpstream &Candidate) {
    return !Candidate.Listed_ && Candidate.Running_ == 0;
  });
}

void SlotPool::recordReport(const UpstreamName &Name,
                            const LoadReport &Report) {
  PooledUpstream *Target = find(Name);
  if (!Target)
    return;
  Target->Report_ = Report;
  Target->ReportedAt_ = Time_.now();
  if (Report.State_ == ServingState::Warming)
    Target->Successes_ = std::min(Target->Successes_, WarmSuccesses / 2);
}

std::uint32_t SlotPool::slots() const {
  std::uint32_t Total = 0;
  for (const PooledUpstream &Target : Upstreams_)
    if (acceptsWork(Target))
      Total += Target.Upstream_.Slots_;
  return Total;
}

std::uint32_t SlotPool::running() const {
  std::uint32_t Total = 0;
  for (const PooledUpstream &Target : Upstreams_)
    Total += Target.Running_;
  return Total;
}

std::uint32_t SlotPool::running(const UpstreamName &Name) const {
  for (const PooledUpstream &Target : Upstreams_)
    if (Target.Upstream_.Name_ == Name)
      return Target.Running_;
  return 0;
}

Nanos SlotPool::medianServiceTime() const {
  return std::chrono::duration_cast<Nanos>(
      std::chrono::duration<double>(medianSeconds()));
}

} // namespace medlarmoor::upstream
