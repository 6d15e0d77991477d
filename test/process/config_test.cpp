#include <harness/cluster.hpp>
#include <harness/json_http.hpp>
#include <harness/wait.hpp>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace medlarmoor;
using namespace medlarmoor::harness;

namespace {

/// The bound of the promise that a configuration is in force in time.
constexpr Millis InForceBound = Seconds(4);
constexpr std::uint8_t Entries = 3;

/// Entries without doors; each but the first knows the first as a neighbour.
ClusterOptions thin(std::optional<config::Neighbour> &First) {
  ClusterOptions Out;
  Out.Adjust_ = [&First](config::Settings &Each) {
    Each.ListenersEnabled_ = false;
    Each.Flow_.MaxFlows_ = 1000;
    if (First)
      Each.Neighbours_.push_back(*First);
    else
      First = config::Neighbour{Each.Name_, Each.Address_};
  };
  return Out;
}

nlohmann::json run(Cluster &World, std::vector<std::string> Words, int &Code) {
  Words.emplace_back("--output=json");
  Process Command = World.startControl(std::move(Words));
  Code = Command.wait(Seconds(30)).value_or(-1);
  return nlohmann::json::parse(Command.log(), nullptr, false);
}

void platform(const Cluster &World, const nlohmann::json &Faults) {
  REQUIRE(callJson(World.addresses().platformHarness(), "POST", "/control",
                   Faults));
}

} // namespace

TEST_CASE("a document goes from accepted to in force, proven and promoted, and "
          "outlives the platform",
          "[config_test]") {
  std::optional<config::Neighbour> First;
  Cluster World(thin(First));
  REQUIRE(World.start());
  for (std::uint8_t Number = 1; Number <= Entries; ++Number)
    REQUIRE(World.startEntry(Number));
  REQUIRE(World.apply());
  REQUIRE(World.waitInForce(1, Seconds(10)));
  World.document().Services_.front().Upstreams_.front().Drain_ = true;
  REQUIRE(World.apply());
  CHECK(World.waitInForce(2, InForceBound));

  int Code = 0;
  const auto Reported = [&] {
    return run(World, {"status", "muscat"}, Code).value("inForceAt", 0) ==
           Entries;
  };
  CHECK(waitUntil(Reported, Seconds(15)));

  const std::vector<std::string> Promote{"promote", "--from=muscat",
                                         "--to=muscat-copy", "--seen=2",
                                         "--proving_seconds=3600"};
  CHECK(run(World, Promote, Code)["obstacles"].size() == Entries);
  CHECK(Code == 6);
  const auto Proven = [&] {
    std::vector<std::string> Words = Promote;
    Words.back() = "--proving_seconds=1";
    return run(World, Words, Code).value("result", "") == "accepted";
  };
  CHECK(waitUntil(Proven, Seconds(15)));
  const nlohmann::json Copy = run(World, {"status", "muscat-copy"}, Code);
  CHECK(Copy["from"]["version"] == 2);
  CHECK(Copy["drains"].size() == 1);

  platform(World, {{"outage", true}});
  REQUIRE(World.startEntry(Entries + 1));
  CHECK(World.waitInForce(2, InForceBound));
  platform(World, {{"outage", false}});
}
