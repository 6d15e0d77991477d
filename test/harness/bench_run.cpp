#include <harness/bench_run.hpp>

#include <harness/process.hpp>
#include <harness/temp_folder.hpp>

namespace medlarmoor::harness {

namespace {

using nlohmann::json;

/// The JSON object on the last line that holds a record.
json lastRecord(const std::string &Log) {
  const std::size_t Start = Log.rfind("{\"experiment\"");
  if (Start == std::string::npos)
    return nullptr;
  const std::size_t End = Log.find('\n', Start);
  return json::parse(Log.substr(Start, End - Start), nullptr, false);
}

} // namespace

BenchRun runBench(const std::vector<std::string> &Arguments, Millis Limit) {
  const TempFolder Folder;
  Process Bench = Process::start("medlarmoor-bench", Arguments,
                                 Folder.path() / "bench.log");
  BenchRun Out;
  Out.Code_ = Bench.wait(Limit);
  Out.Log_ = Bench.log();
  Out.Record_ = lastRecord(Out.Log_);
  return Out;
}

} // namespace medlarmoor::harness
