#include <bench/world/load.hpp>

#include <harness/json_http.hpp>
#include <harness/wait.hpp>

namespace medlarmoor::bench {

using harness::callJson;
using nlohmann::json;

bool startLoad(harness::Cluster &World, const LoadPlan &Plan) {
  json Addresses = json::array();
  json Names = json::array();
  for (const config::Service &Each : World.document().Services_) {
    Names.push_back(Each.Name_.value());
    for (const Endpoint &Address : Each.Addresses_)
      Addresses.push_back(Address.text());
  }
  for (const std::string &Name : World.upstreamNames())
    if (!callJson(*World.upstreamHarness(Name), "POST", "/control",
                  {{"serviceMs", Plan.Service_.count()}}))
      return false;
  const json Flows{{"services", Addresses},
                   {"rate", Plan.FlowsPerSecond_},
                   {"long", Plan.LongFlows_}};
  const json Requests{
      {"services", Names},
      {"rate", Plan.RequestsPerSecond_},
      {"deadlineMs", Plan.Deadline_.count()},
      {"domain", World.document().Domains_.front().Name_.value()}};
  return callJson(World.callerHarness(), "POST", "/flows", Flows) &&
         callJson(World.callerHarness(), "POST", "/requests", Requests);
}

bool finishLoad(harness::Cluster &World, Millis Limit) {
  if (!callJson(World.callerHarness(), "POST", "/finish"))
    return false;
  return harness::waitUntil(
      [&] {
        const auto Counters =
            callJson(World.callerHarness(), "GET", "/counters");
        return Counters && (*Counters)["flows"]["open"] == 0 &&
               (*Counters)["requests"]["open"] == 0;
      },
      Limit);
}

} // namespace medlarmoor::bench
