#include <harness/bench_run.hpp>

#include <catch2/catch.hpp>

using namespace medlarmoor;
using namespace medlarmoor::harness;

namespace {

/// Two pairs of events.
constexpr const char *Length = "--seconds=11";

void keepsPromises(const std::string &Case, const std::string &Seed) {
  const BenchRun Run = runBench(
      {"--experiment=chaos", "--case=" + Case, "--seed=" + Seed, Length},
      Seconds(60));
  INFO(Run.Log_);
  REQUIRE(Run.Code_ == 0);
  REQUIRE(Run.Record_.is_object());
  CHECK(Run.Record_["held"] == true);
  const nlohmann::json &Figures = Run.Record_["figures"];
  CHECK(Figures["flows"] > 300);
  CHECK(Figures["done"] > 300);
  for (const char *Key :
       {"misrouted_packets", "double_runs", "false_not_run",
        "wrong_or_partial_answers", "config_reverts", "changes_lost"})
    CHECK(Figures[Key] == 0);
  if (Case == "planned")
    CHECK(Figures["broken_flows"] == 0);
}

} // namespace

TEST_CASE("planned events break nothing", "[chaos_test]") {
  keepsPromises("planned", "1");
}

TEST_CASE("pairs of faults break no promise", "[chaos_test]") {
  for (const char *Seed : {"1", "2", "5"})
    keepsPromises("faults", Seed);
}
