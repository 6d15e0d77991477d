#include <harness/bench_run.hpp>

#include <catch2/catch.hpp>

using namespace medlarmoor;
using namespace medlarmoor::harness;

namespace {

/// The run of a seed that once failed.
nlohmann::json figures(const char *Seed) {
  const BenchRun Run = runBench(
      {"--experiment=edge_soak", std::string("--seed=") + Seed, "--seconds=15"},
      Seconds(60));
  INFO(Run.Log_);
  REQUIRE(Run.Code_ == 0);
  REQUIRE(Run.Record_.is_object());
  return Run.Record_["figures"];
}

} // namespace

// Entries that lapsed in an outage were dropped by instances for which a peer
// had read: 33 flows were reset as without upstream.
TEST_CASE("seed 3: lapsed entries are kept after a peer's reading",
          "[edge_soak_regression_test]") {
  CHECK(figures("3")["refused"] == 0);
}

// The same with a paused reader: 31 flows were reset.
TEST_CASE("seed 7: lapsed entries are kept after a paused reader",
          "[edge_soak_regression_test]") {
  CHECK(figures("7")["refused"] == 0);
}

// An upstream that was removed and came back between two watches was taken as
// gone: the removal was applied last, whatever came after it.
TEST_CASE("seed 107: an upstream that came back is used",
          "[edge_soak_regression_test]") {
  CHECK(figures("107")["broken"] == 0);
}
