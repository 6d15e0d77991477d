#include <medlarmoor/config/pull_plan.hpp>

#include <algorithm>

namespace medlarmoor::config {

namespace {

/// Bounds of the random delay before a pull that a heartbeat causes.
constexpr std::int64_t MinDelayMs = 200;
constexpr std::int64_t MaxDelayMs = 600;
/// Bounds of the exponential backoff after a failed pull.
constexpr Millis MinRetryDelay{100};
constexpr Millis MaxRetryDelay{3200};
constexpr std::uint32_t MaxBackoffShift = 5;

} // namespace

PullPlan::PullPlan(Clock Time, Random Source)
    : Clock_(std::move(Time)), Random_(Source) {}

void PullPlan::onMembers(const std::vector<EntryName> &Live) {
  std::erase_if(MemberVersions_, [&Live](const auto &Known) {
    return std::find(Live.begin(), Live.end(), Known.first) == Live.end();
  });
}

void PullPlan::onMemberVersion(const EntryName &From, ConfigVersion Version,
                               bool IsNotice) {
  MemberVersions_[From] = Version;
  if (IsNotice)
    NotifiedBy_ = From;
}

void PullPlan::onPullEnd(const EntryName &From, PullResult Result) {
  InFlightFrom_.reset();
  DueAt_.reset();
  const bool SnapshotMismatch =
      PullSnapshot_ && Result == PullResult::BaseMismatch;
  PullSnapshot_ = Result == PullResult::BaseMismatch && !SnapshotMismatch;
  if (Result == PullResult::Completed)
    Failures_ = 0;
  if (Result != PullResult::Failed && !SnapshotMismatch)
    return;
  MemberVersions_.erase(From);
  const Millis Delay =
      MinRetryDelay * (1U << std::min(Failures_++, MaxBackoffShift));
  DueAt_ = Clock_.now() + std::min(Delay, MaxRetryDelay);
}

std::vector<EntryName> PullPlan::holders(ConfigVersion Version) const {
  std::vector<EntryName> Members;
  for (const auto &[Name, Held] : MemberVersions_)
    if (Held == Version)
      Members.push_back(Name);
  return Members;
}

bool PullPlan::isDue(ConfigVersion HeldVersion) {
  if (DueAt_)
    return Clock_.now() >= *DueAt_;
  if (HeldVersion == ConfigVersion(0) || PullSnapshot_)
    return true;
  std::uniform_int_distribution<std::int64_t> Delay(MinDelayMs, MaxDelayMs);
  DueAt_ = Clock_.now() + Millis(Delay(Random_));
  return false;
}

std::optional<Pull> PullPlan::next(ConfigVersion HeldVersion) {
  if (InFlightFrom_)
    return std::nullopt;
  const ConfigVersion BaseVersion =
      PullSnapshot_ ? ConfigVersion(0) : HeldVersion;
  if (NotifiedBy_) {
    const auto Notifier = MemberVersions_.find(*NotifiedBy_);
    const bool Newer =
        Notifier != MemberVersions_.end() && Notifier->second > HeldVersion;
    InFlightFrom_ = Newer ? NotifiedBy_ : std::nullopt;
    NotifiedBy_.reset();
    if (InFlightFrom_)
      return Pull{*InFlightFrom_, BaseVersion};
  }
  ConfigVersion Newest = HeldVersion;
  for (const auto &[Name, Held] : MemberVersions_)
    Newest = std::max(Newest, Held);
  if (Newest == HeldVersion) {
    DueAt_.reset();
    return std::nullopt;
  }
  if (!isDue(HeldVersion))
    return std::nullopt;
  const std::vector<EntryName> From = holders(Newest);
  std::uniform_int_distribution<std::size_t> Choice(0, From.size() - 1);
  InFlightFrom_ = From[Choice(Random_)];
  return Pull{*InFlightFrom_, BaseVersion};
}

} // namespace medlarmoor::config
