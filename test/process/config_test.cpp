#include <harness/cluster.hpp>
#include <harness/json_http.hpp>
#include <harness/wait.hpp>

#include <medlarmoor/core/clock.hpp>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>

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

/// Waits until all entries have Version or a higher one in force.
bool waitInForce(const Cluster &World, std::uint64_t Version, Millis Limit) {
  return waitUntil(
      [&] {
        const std::vector<std::string> Names = World.entryNames();
        return std::all_of(Names.begin(), Names.end(), [&](const auto &Name) {
          return World.version(Name) >= Version;
        });
      },
      Limit);
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
  REQUIRE(waitInForce(World, 1, Seconds(10)));
  World.document().Services_.front().Upstreams_.front().Drain_ = true;
  REQUIRE(World.apply());
  CHECK(waitInForce(World, 2, InForceBound));

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
  CHECK(waitInForce(World, 2, InForceBound));
  platform(World, {{"outage", false}});
}

// Guards against a document that is accepted after a restore and never in
// force, because the entries hold a later version that the platform has lost.
TEST_CASE("a document that the platform accepts after a restore is in force",
          "[config_test]") {
  std::optional<config::Neighbour> First;
  Cluster World(thin(First));
  const Clock Time;
  REQUIRE(World.start());
  for (std::uint8_t Number = 1; Number <= Entries; ++Number)
    REQUIRE(World.startEntry(Number));
  REQUIRE(World.apply());
  REQUIRE(waitInForce(World, 1, Seconds(10)));
  const TimePoint Copied = Time.now();
  auto &Drained = World.document().Services_.front().Upstreams_;
  Drained.front().Drain_ = true;
  REQUIRE(World.apply());
  REQUIRE(waitInForce(World, 2, InForceBound));
  const auto Age =
      std::chrono::duration_cast<Millis>(Time.now() - Copied).count();
  platform(World, {{"restoreMs", Age}});
  Drained.back().Drain_ = true;
  REQUIRE(World.apply());
  CHECK(waitInForce(World, 3, InForceBound));
}
