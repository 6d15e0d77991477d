#include <medlarmoor/config/active_config.hpp>
#include <medlarmoor/config/settings.hpp>
#include <medlarmoor/daemon/internal_admin_pages.hpp>
#include <medlarmoor/membership/view.hpp>
#include <medlarmoor/net/http_pages.hpp>

#include <nlohmann/json.hpp>

namespace medlarmoor::daemon::internal {

namespace {

using Json = nlohmann::json;

Json membersOf(const membership::View &Seen) {
  Json Out = Json::array();
  for (const membership::Member &Each : Seen.members())
    Out.push_back(
        {{"name", Each.Name_.value()},
         {"address", Each.Address_.text()},
         {"state",
          Each.State_ == membership::MemberState::Live ? "live" : "leaving"}});
  return Out;
}

net::HttpResponse page(unsigned Status, const Json &Body) {
  return net::jsonPage(
      Body.dump(-1, ' ', false, Json::error_handler_t::replace) + "\n", Status);
}

} // namespace

net::HttpResponse errorPage(unsigned Status, const std::string &Reason) {
  return page(Status, {{"reason", Reason}});
}

net::HttpResponse healthPage(const std::vector<std::string> &Stuck) {
  return page(Stuck.empty() ? 200 : 503,
              {{"healthy", Stuck.empty()}, {"stuck", Stuck}});
}

net::HttpResponse readyPage(const membership::ControlStatus &Known,
                            TimePoint Now, Nanos Lease, bool FlowsReady) {
  std::vector<std::string> Reasons;
  if (!FlowsReady)
    Reasons.emplace_back("flows are not handed over yet");
  if (!Known.InForce_)
    Reasons.emplace_back("no configuration is in force");
  if (!Known.LeaseValid_)
    Reasons.emplace_back("entry is " + std::string(text(Known.State_)));
  else if (Now - Known.TickedAt_ > Lease)
    Reasons.emplace_back("the lease has lapsed");
  return page(Reasons.empty() ? 200 : 503,
              {{"ready", Reasons.empty()}, {"reasons", Reasons}});
}

net::HttpResponse statusPage(const config::Settings &Given,
                             const membership::ControlStatus &Known) {
  Json Out{{"name", Given.Name_.value()},
           {"domain", Given.Domain_.value()},
           {"environment", Given.Environment_},
           {"program_version", MEDLARMOOR_VERSION},
           {"state", text(Known.State_)},
           {"lease_valid", Known.LeaseValid_},
           {"incarnation", Known.Run_.value()},
           {"list_disagreements", Known.ListDisagreements_},
           {"version", Known.InForce_ ? Known.InForce_->Version_.value() : 0},
           {"members", Json::array()}};
  if (Known.View_) {
    Out["view"] = Known.View_->id().value();
    Out["members"] = membersOf(*Known.View_);
  }
  return page(200, Out);
}

} // namespace medlarmoor::daemon::internal
