#include <bench/world/load.hpp>

#include <harness/json_http.hpp>
#include <harness/wait.hpp>

namespace medlarmoor::bench {

using harness::callJson;
using nlohmann::json;

namespace {

constexpr Millis ReadyLimit = Seconds(10);

} // namespace

bool startEntries(harness::Cluster &World, std::uint8_t Count) {
  for (std::uint8_t I = 1; I <= Count; ++I)
    if (!World.startEntry(I))
      return false;
  if (!World.apply())
    return false;
  for (const std::string &Name : World.entryNames()) {
    if (!World.waitReady(Name, ReadyLimit))
      return false;
    World.serve(Name);
  }
  return true;
}

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
