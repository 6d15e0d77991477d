#include <harness/bench_run.hpp>
#include <harness/process.hpp>
#include <harness/temp_folder.hpp>
#include <harness/wait.hpp>

#include <catch2/catch.hpp>

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <vector>

using namespace medlarmoor;
using namespace medlarmoor::harness;

namespace {

/// Ids of the processes that Parent has started.
std::vector<pid_t> childrenOf(pid_t Parent) {
  const std::string Id = std::to_string(Parent);
  std::ifstream In("/proc/" + Id + "/task/" + Id + "/children");
  return {std::istream_iterator<pid_t>(In), {}};
}

} // namespace

TEST_CASE("a short demo keeps every promise", "[demo_test]") {
  const BenchRun Demo =
      runBench({"--experiment=demo", "--seconds=9"}, Seconds(70));
  INFO(Demo.Log_);
  REQUIRE(Demo.Code_ == 0);
  REQUIRE(Demo.Record_.is_object());
  CHECK(Demo.Record_["held"] == true);
  const nlohmann::json &Figures = Demo.Record_["figures"];
  CHECK(Figures["flows"] > 300);
  CHECK(Figures["done"] > 300);
  for (const char *Key :
       {"broken_flows", "misrouted_packets", "wrong_or_partial_answers",
        "double_runs", "false_not_run"})
    CHECK(Figures[Key] == 0);
}

TEST_CASE("an interrupted demo leaves no process behind", "[demo_test]") {
  TempFolder Folder;
  Process Demo = Process::start("medlarmoor-bench", {"--experiment=demo"},
                                Folder.path() / "demo.log");
  std::vector<pid_t> Children;
  REQUIRE(waitUntil([&] {
    Children = childrenOf(Demo.id());
    return Children.size() >= 6;
  }));
  Demo.signal(SIGINT);
  CHECK(Demo.wait(Seconds(5)) == 130);
  CHECK(waitUntil([&] {
    return std::none_of(Children.begin(), Children.end(), [](pid_t Child) {
      return std::filesystem::exists("/proc/" + std::to_string(Child));
    });
  }));
}
