#include <harness/process.hpp>
#include <harness/temp_folder.hpp>

#include <catch2/catch.hpp>

using namespace medlarmoor;
using namespace medlarmoor::harness;

namespace {

std::string report(TempFolder &Folder, std::vector<std::string> Files,
                   std::optional<int> &Code) {
  Files.insert(Files.begin(), "report");
  Process Run =
      Process::start("medlarmoor-bench", Files, Folder.path() / "report.html");
  Code = Run.wait(Seconds(10));
  return Run.log();
}

std::size_t count(const std::string &Text, const std::string &Part) {
  std::size_t Out = 0;
  for (std::size_t At = Text.find(Part); At != std::string::npos;
       At = Text.find(Part, At + 1))
    ++Out;
  return Out;
}

} // namespace

TEST_CASE("the report shows this run beside an earlier one", "[report_test]") {
  TempFolder Folder;
  const std::string Now = Folder.write(
      "now.jsonl",
      "not a record\n"
      R"({"experiment":"flows","case":"<drain>","policy":"medlarmoor","seed":1,)"
      R"("figures":{"broken_flows":3,"imbalance":1.08,"bytes":[[0,1],[1,5]]},)"
      R"("bound":{"broken_flows":0,"imbalance":1.1},"held":false})"
      "\n");
  const std::string Before = Folder.write(
      "before.jsonl",
      R"({"experiment":"flows","case":"<drain>","policy":"medlarmoor","seed":1,)"
      R"("figures":{"broken_flows":17,"imbalance":1.25,"bytes":[[0,2],[1,2]]},)"
      R"("bound":{"broken_flows":0,"imbalance":1.1},"held":false})"
      "\n");
  std::optional<int> Code;
  const std::string Page = report(Folder, {Now, Before}, Code);
  CHECK(Code == 0);
  // Two bar charts and the series, both runs in each.
  CHECK(count(Page, "<svg") == 3);
  CHECK(count(Page, "<polyline") == 2);
  CHECK(Page.find("3 (17)") != std::string::npos);
  CHECK(Page.find("1.08 (1.25)") != std::string::npos);
  CHECK(Page.find("&lt;drain&gt;") != std::string::npos);
  CHECK(Page.find("<drain>") == std::string::npos);
  // Only broken_flows is over its bound.
  CHECK(count(Page, "fill=\"#c0392b\"") == 1);
}

TEST_CASE("a result file that is not there is a usage error", "[report_test]") {
  TempFolder Folder;
  std::optional<int> Code;
  CHECK(
      report(Folder, {"/nowhere/results.jsonl"}, Code).find("cannot be read") !=
      std::string::npos);
  CHECK(Code == 2);
}
