#include <medlarmoor/ctl/internal_proof.hpp>

#include <algorithm>
#include <optional>

namespace medlarmoor::ctl::internal {

namespace {

std::string number(ConfigVersion Version) {
  return std::to_string(Version.value());
}

std::optional<std::string> reason(const EntryRow &Each, ConfigVersion Version,
                                  Seconds Proving) {
  if (Each.State_ == EntryState::Unreported)
    return "is live, but no domain reports it";
  if (Each.State_ == EntryState::CutOff)
    return "is cut off from the platform";
  if (Each.Status_->Version_ != Version)
    return "acts on version " + number(Each.Status_->Version_);
  const auto Age = std::chrono::duration_cast<Seconds>(Each.Reported_ -
                                                       Each.Status_->Since_);
  if (Age < Proving)
    return "acts on it since " +
           std::to_string(std::max<std::int64_t>(Age.count(), 0)) + " s of " +
           std::to_string(Proving.count()) + " s";
  return std::nullopt;
}

} // namespace

std::vector<Obstacle> obstacles(const std::vector<EntryRow> &Fleet,
                                ConfigVersion Version, Seconds Proving) {
  std::vector<Obstacle> Out;
  bool AnyLive = false;
  for (const EntryRow &Each : Fleet) {
    if (!Each.Listed_ && Each.State_ == EntryState::CutOff)
      continue;
    AnyLive = true;
    if (auto Why = reason(Each, Version, Proving))
      Out.push_back({Each.Name_, std::move(*Why)});
  }
  if (!AnyLive)
    Out.push_back({EntryName(), "no entry acts on it"});
  return Out;
}

} // namespace medlarmoor::ctl::internal
