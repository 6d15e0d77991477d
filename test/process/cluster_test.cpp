#include <harness/cluster.hpp>
#include <harness/json_http.hpp>
#include <harness/verdict.hpp>
#include <harness/wait.hpp>
#include <medlarmoor/config/environment.hpp>

#include <catch2/catch.hpp>

using namespace medlarmoor;
using namespace medlarmoor::harness;
using nlohmann::json;

namespace {

json counters(const Cluster &World) {
  return callJson(World.callerHarness(), "GET", "/counters").value();
}

/// Has the fabric spray straight over upstreams, with no entry between.
void sprayOver(Cluster &World, const std::vector<std::string> &Upstreams) {
  json List = json::array();
  for (const config::Upstream &Each :
       World.document().Services_.front().Upstreams_)
    for (const std::string &Name : Upstreams)
      if (Each.Name_.value() == Name)
        List.push_back(Each.Packets_.text());
  REQUIRE(callJson(World.addresses().fabricHarness(), "PUT", "/entries",
                   {{"entries", List}}));
}

} // namespace

TEST_CASE("callers and upstreams see what a balancer would do wrong",
          "[cluster_test]") {
  ClusterOptions Made;
  Made.Proxied_ = true;
  Cluster World(Made);
  REQUIRE(World.start());
  const json Addresses{"192.0.2.10:443"};
  sprayOver(World, {"booking-01"});
  REQUIRE(callJson(World.callerHarness(), "POST", "/flows",
                   {{"services", Addresses}, {"long", 20}, {"rate", 50}}));
  REQUIRE(waitUntil([&] {
    const json Flows = counters(World)["flows"];
    return Flows["finished"] >= 10 && Flows["exchanges"] >= 100;
  }));
  Verdict Before = gatherVerdict(World);
  CHECK(Before.Flows_ >= 30);
  CHECK(Before.BrokenFlows_ == 0);
  CHECK(Before.MisroutedPackets_ == 0);
  CHECK(Before.Missing_ == 0);

  sprayOver(World, {"booking-01", "booking-02"});
  REQUIRE(waitUntil([&] { return counters(World)["flows"]["broken"] >= 20; }));
  REQUIRE(callJson(World.callerHarness(), "POST", "/flows",
                   {{"services", {"192.0.2.11:443"}}}));
  CHECK(waitUntil([&] { return gatherVerdict(World).MisroutedPackets_ > 0; }));
}

TEST_CASE("the document is accepted through medlarmoorctl", "[cluster_test]") {
  Cluster World({});
  REQUIRE(World.start());
  REQUIRE(World.apply());
  const auto Manifest =
      callJson(World.addresses().platformApi(), "GET",
               "/v1/objects/manifest/" + World.document().Name_);
  REQUIRE(Manifest);
  CHECK((*Manifest)["value"]["parts"].size() >= 2);
}
