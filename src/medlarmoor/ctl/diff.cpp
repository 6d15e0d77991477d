#include <medlarmoor/config/parts.hpp>
#include <medlarmoor/config/read_environment.hpp>
#include <medlarmoor/ctl/commands.hpp>
#include <medlarmoor/ctl/internal_changes.hpp>
#include <medlarmoor/ctl/internal_cost.hpp>
#include <medlarmoor/ctl/internal_findings.hpp>
#include <medlarmoor/ctl/internal_unreachable.hpp>
#include <medlarmoor/platform/read_document.hpp>

namespace medlarmoor::ctl {

using nlohmann::ordered_json;

namespace {

std::string line(const internal::Change &Each) {
  const std::string About = Each.Kind_ + " " + Each.Name_;
  if (Each.Before_.empty())
    return "  + " + About;
  if (Each.After_.empty())
    return "  - " + About;
  return "  ~ " + About + ": " + Each.Field_ + " " + Each.Before_ + " -> " +
         Each.After_;
}

void addCosts(Outcome &Out, const std::vector<internal::Cost> &Costs) {
  Out.Json_["costs"] = ordered_json::array();
  for (const internal::Cost &Each : Costs) {
    Out.Json_["costs"].push_back({{"service", Each.Service_.value()},
                                  {"domain", Each.Domain_.value()},
                                  {"slots", Each.Slots_},
                                  {"slotsMoved", Each.Moved_},
                                  {"flowsAtStake", Each.FlowsAtStake_}});
    Out.Text_ += "  cost: " + Each.Service_.value() + " in " +
                 Each.Domain_.value() + ": " + std::to_string(Each.Moved_) +
                 " of " + std::to_string(Each.Slots_) +
                 " table slots move, at most " +
                 std::to_string(Each.FlowsAtStake_) +
                 " open flows on upstreams that leave\n";
  }
}

} // namespace

Outcome diff(const std::string &File, const Options &Asked) {
  Findings Found;
  const auto Wanted = config::readEnvironmentFile(File, Found);
  if (!Wanted)
    return internal::reportFindings(Found);
  const platform::SyncClient From(*Asked.Platform_, Asked.Patience_);
  std::string Reason;
  const auto There = platform::readDocument(From, Wanted->Name_, Reason);
  if (!There)
    return internal::unreachable(Wanted->Name_, Reason);
  const config::Environment Before =
      There->Document_ ? There->Document_->Environment_ : config::Environment();
  const config::Environment After = config::sorted(*Wanted);
  const auto Changes = internal::changes(Before, After);
  const std::string Version = std::to_string(There->Manifest_.Version_.value());
  Outcome Out;
  Out.Json_ = {{"result", Changes.empty() ? "same" : "differs"},
               {"environment", Wanted->Name_},
               {"version", There->Manifest_.Version_.value()},
               {"changes", ordered_json::array()}};
  Out.Text_ = Wanted->Name_ + ": " + std::to_string(Changes.size()) +
              " changes against version " + Version + "\n";
  for (const internal::Change &Each : Changes) {
    Out.Text_ += line(Each) + "\n";
    Out.Json_["changes"].push_back({{"kind", Each.Kind_},
                                    {"name", Each.Name_},
                                    {"field", Each.Field_},
                                    {"before", Each.Before_},
                                    {"after", Each.After_}});
  }
  addCosts(Out, internal::costs(Before, After));
  if (!Changes.empty())
    Out.Text_ += "apply it with --seen " + Version + "\n";
  return Out;
}

} // namespace medlarmoor::ctl
