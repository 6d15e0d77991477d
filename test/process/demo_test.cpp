#include <harness/process.hpp>
#include <harness/temp_folder.hpp>
#include <harness/wait.hpp>

#include <nlohmann/json.hpp>

#include <catch2/catch.hpp>

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <vector>

using namespace medlarmoor;
using namespace medlarmoor::harness;
using nlohmann::json;

namespace {

/// The JSON object on the last line that holds one.
json lastRecord(const std::string &Log) {
  const std::size_t Start = Log.rfind("\n{\"experiment\"");
  if (Start == std::string::npos)
    return json();
  const std::size_t End = Log.find('\n', Start + 1);
  return json::parse(Log.substr(Start, End - Start), nullptr, false);
}

/// Ids of the processes that Parent has started.
std::vector<pid_t> childrenOf(pid_t Parent) {
  const std::string Id = std::to_string(Parent);
  std::ifstream In("/proc/" + Id + "/task/" + Id + "/children");
  return {std::istream_iterator<pid_t>(In), {}};
}

} // namespace

TEST_CASE("a short demo keeps every promise", "[demo_test]") {
  TempFolder Folder;
  Process Demo =
      Process::start("medlarmoor-bench", {"--experiment=demo", "--seconds=9"},
                     Folder.path() / "demo.log");
  const std::optional<int> Code = Demo.wait(Seconds(70));
  INFO(Demo.log());
  REQUIRE(Code == 0);
  const json Record = lastRecord(Demo.log());
  REQUIRE(Record.is_object());
  CHECK(Record["held"] == true);
  CHECK(Record["figures"]["flows"] > 300);
  CHECK(Record["figures"]["done"] > 300);
  for (const char *Key :
       {"broken_flows", "misrouted_packets", "wrong_or_partial_answers",
        "double_runs", "false_not_run"})
    CHECK(Record["figures"][Key] == 0);
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
