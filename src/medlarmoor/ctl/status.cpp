#include <medlarmoor/config/status_report.hpp>
#include <medlarmoor/core/clock.hpp>
#include <medlarmoor/ctl/commands.hpp>
#include <medlarmoor/ctl/internal_fleet.hpp>
#include <medlarmoor/ctl/internal_unreachable.hpp>
#include <medlarmoor/platform/read_document.hpp>

#include <algorithm>

namespace medlarmoor::ctl {

using namespace config;
using nlohmann::ordered_json;

namespace {

std::string number(ConfigVersion Version) {
  return std::to_string(Version.value());
}

/// One line of the text and one object of the JSON for an entry.
void addEntry(Outcome &Out, const internal::EntryRow &Each,
              ConfigVersion Accepted, WallTime Now) {
  ordered_json Row{{"entry", Each.Name_.value()},
                   {"domain", Each.Domain_.value()},
                   {"state", internal::stateText(Each.State_)}};
  std::string Line = "  " + Each.Name_.value() + " (" + Each.Domain_.value() +
                     "): " + internal::stateText(Each.State_);
  if (Each.Status_) {
    const auto Age =
        std::chrono::duration_cast<Seconds>(Now - Each.Status_->Since_).count();
    const std::uint64_t Behind =
        Accepted > Each.Status_->Version_
            ? Accepted.value() - Each.Status_->Version_.value()
            : 0;
    Row["version"] = Each.Status_->Version_.value();
    Row["behind"] = Behind;
    Row["sinceSeconds"] = std::max<std::int64_t>(Age, 0);
    Line += ", version " + number(Each.Status_->Version_) + ", " +
            std::to_string(Behind) + " behind";
  }
  Out.Json_["entries"].push_back(std::move(Row));
  Out.Text_ += Line + "\n";
}

/// At how many of the live entries the accepted version is in force.
void addSummary(Outcome &Out, const std::vector<internal::EntryRow> &Fleet,
                ConfigVersion Accepted) {
  std::size_t Live = 0;
  std::size_t InForce = 0;
  for (const internal::EntryRow &Each : Fleet) {
    const bool Reported = Each.State_ == internal::EntryState::Reported;
    Live += Reported || Each.Listed_ ? 1 : 0;
    InForce += Reported && Each.Status_->Version_ == Accepted ? 1 : 0;
  }
  Out.Json_["live"] = Live;
  Out.Json_["inForceAt"] = InForce;
  Out.Text_ += "  in force at " + std::to_string(InForce) + " of " +
               std::to_string(Live) + " live entries\n";
}

void addDrains(Outcome &Out, const ActiveConfigPtr &Document) {
  Out.Json_["drains"] = ordered_json::array();
  if (!Document)
    return;
  for (const Service &Each : Document->Environment_.Services_)
    for (const Upstream &Behind : Each.Upstreams_) {
      if (!Behind.Drain_)
        continue;
      Out.Json_["drains"].push_back({{"service", Each.Name_.value()},
                                     {"upstream", Behind.Name_.value()}});
      Out.Text_ += "  draining: " + Behind.Name_.value() + " of " +
                   Each.Name_.value() + "\n";
    }
}

} // namespace

Outcome status(const std::string &Environment, const Options &Asked) {
  const platform::SyncClient From(*Asked.Platform_, Asked.Patience_);
  std::string Reason;
  const auto Accepted = platform::readDocument(From, Environment, Reason);
  if (!Accepted)
    return internal::unreachable(Environment, Reason);
  const auto Fleet = internal::readFleet(From, Environment, Reason);
  if (!Fleet)
    return internal::unreachable(Environment, Reason);
  const WallTime Now = Clock().wallNow();
  const ConfigVersion Version = Accepted->Manifest_.Version_;
  Outcome Out;
  Out.Json_ = {{"result", "ok"},
               {"environment", Environment},
               {"accepted", Version.value()},
               {"entries", ordered_json::array()}};
  Out.Text_ = Environment + ": accepted version " + number(Version) + "\n";
  if (Accepted->Manifest_.Origin_) {
    const Origin &Copied = *Accepted->Manifest_.Origin_;
    Out.Json_["from"] = {{"environment", Copied.Environment_},
                         {"version", Copied.Version_.value()}};
    Out.Text_ += "  copied from " + Copied.Environment_ + " version " +
                 number(Copied.Version_) + "\n";
  }
  addSummary(Out, *Fleet, Version);
  for (const internal::EntryRow &Each : *Fleet)
    addEntry(Out, Each, Version, Now);
  addDrains(Out, Accepted->Document_);
  return Out;
}

} // namespace medlarmoor::ctl
