#include <medlarmoor/config/pull_plan.hpp>

#include <algorithm>

namespace medlarmoor::config {

namespace {

constexpr std::int64_t LeastDelayMs = 200;
constexpr std::int64_t GreatestDelayMs = 600;
constexpr Millis FirstRetry{100};
constexpr Millis LongestRetry{3200};
constexpr std::uint32_t GreatestShift = 5;

} // namespace

PullPlan::PullPlan(Clock Time, Random Source)
    : Clock_(std::move(Time)), Random_(Source) {}

void PullPlan::onMembers(const std::vector<EntryName> &Live) {
  std::erase_if(Heard_, [&Live](const auto &Each) {
    return std::find(Live.begin(), Live.end(), Each.first) == Live.end();
  });
}

void PullPlan::onHeard(const EntryName &From, ConfigVersion Version,
                       bool IsNotice) {
  Heard_[From] = Version;
  if (IsNotice)
    Notified_ = From;
}

void PullPlan::onDone(const EntryName &From, PullResult Result) {
  Asked_.reset();
  DueAt_.reset();
  const bool WholeFailed = Whole_ && Result == PullResult::DidNotFit;
  Whole_ = Result == PullResult::DidNotFit && !WholeFailed;
  if (Result == PullResult::Done)
    Failures_ = 0;
  if (Result != PullResult::Failed && !WholeFailed)
    return;
  Heard_.erase(From);
  const Millis Delay =
      FirstRetry * (1U << std::min(Failures_++, GreatestShift));
  DueAt_ = Clock_.now() + std::min(Delay, LongestRetry);
}

std::vector<EntryName> PullPlan::holders(ConfigVersion Version) const {
  std::vector<EntryName> Out;
  for (const auto &[Name, Has] : Heard_)
    if (Has == Version)
      Out.push_back(Name);
  return Out;
}

bool PullPlan::isDue(ConfigVersion Have) {
  if (DueAt_)
    return Clock_.now() >= *DueAt_;
  if (Have == ConfigVersion(0) || Whole_)
    return true;
  std::uniform_int_distribution<std::int64_t> Delay(LeastDelayMs,
                                                    GreatestDelayMs);
  DueAt_ = Clock_.now() + Millis(Delay(Random_));
  return false;
}

std::optional<Pull> PullPlan::next(ConfigVersion Have) {
  if (Asked_)
    return std::nullopt;
  const ConfigVersion Asking = Whole_ ? ConfigVersion(0) : Have;
  if (Notified_) {
    const auto Notifier = Heard_.find(*Notified_);
    const bool Newer = Notifier != Heard_.end() && Notifier->second > Have;
    Asked_ = Newer ? Notified_ : std::nullopt;
    Notified_.reset();
    if (Asked_)
      return Pull{*Asked_, Asking};
  }
  ConfigVersion Best = Have;
  for (const auto &[Name, Has] : Heard_)
    Best = std::max(Best, Has);
  if (Best == Have) {
    DueAt_.reset();
    return std::nullopt;
  }
  if (!isDue(Have))
    return std::nullopt;
  const std::vector<EntryName> From = holders(Best);
  std::uniform_int_distribution<std::size_t> Choice(0, From.size() - 1);
  Asked_ = From[Choice(Random_)];
  return Pull{*Asked_, Asking};
}

} // namespace medlarmoor::config
