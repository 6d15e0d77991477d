#include <medlarmoor/core/clock.hpp>
#include <medlarmoor/ctl/internal_fleet.hpp>

#include <algorithm>
#include <map>
#include <set>
#include <tuple>

namespace medlarmoor::ctl::internal {

using namespace config;

namespace {

/// A domain that has not reported for this long is cut off from the platform.
constexpr Seconds SilentAfter{20};

/// "{environment}.{failure domain}" in two.
std::pair<std::string, std::string> split(const std::string &Name) {
  const std::size_t Dot = Name.find('.');
  if (Dot == std::string::npos)
    return {Name, {}};
  return {Name.substr(0, Dot), Name.substr(Dot + 1)};
}

/// What the status objects of all environments say.
struct Reports {
  std::map<EntryName, EntryRow> Own_;
  std::set<EntryName> Others_;
};

Reports collect(const platform::Listing &Listed, const std::string &Environment,
                WallTime Now) {
  Reports Out;
  for (const platform::Object &Each : Listed.Items_) {
    const auto [Whose, Domain] = split(Each.Name_);
    const auto Read = readStatusReport(Each.Value_);
    if (!Read)
      continue;
    const bool Silent = Now - Read->WrittenAt_ >= SilentAfter;
    for (const auto &[Name, Status] : Read->Entries_) {
      if (Whose == Environment)
        Out.Own_[Name] = {Name,
                          DomainName(Domain),
                          Silent ? EntryState::CutOff : EntryState::Reported,
                          Status,
                          Read->WrittenAt_,
                          false};
      else if (!Silent)
        Out.Others_.insert(Name);
    }
  }
  return Out;
}

} // namespace

std::string stateText(EntryState State) {
  switch (State) {
  case EntryState::Reported:
    return "reported";
  case EntryState::CutOff:
    return "cut off";
  case EntryState::Unreported:
    break;
  }
  return "unreported";
}

std::optional<std::vector<EntryRow>> readFleet(const platform::SyncClient &From,
                                               const std::string &Environment,
                                               std::string &Reason) {
  const platform::ListResult Listed = From.list("status", "");
  const platform::InstancesResult Instances = From.instances();
  const auto *Reported = std::get_if<platform::Listing>(&Listed);
  const auto *Live = std::get_if<platform::InstanceList>(&Instances);
  if (!Reported || !Live) {
    Reason = "the platform does not answer";
    return std::nullopt;
  }
  Reports Known = collect(*Reported, Environment, Clock().wallNow());
  for (const platform::Instance &Each : Live->Instances_) {
    if (Each.Leaving_ || Known.Others_.count(Each.Name_) != 0)
      continue;
    EntryRow &Row = Known.Own_[Each.Name_];
    Row.Name_ = Each.Name_;
    Row.Domain_ = Each.Domain_;
    Row.Listed_ = true;
  }
  std::vector<EntryRow> Out;
  for (auto &[Name, Row] : Known.Own_)
    Out.push_back(std::move(Row));
  std::sort(Out.begin(), Out.end(), [](const EntryRow &A, const EntryRow &B) {
    return std::tie(A.Domain_, A.Name_) < std::tie(B.Domain_, B.Name_);
  });
  return Out;
}

} // namespace medlarmoor::ctl::internal
