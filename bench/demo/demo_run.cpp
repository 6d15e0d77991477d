#include <bench/demo/demo_run.hpp>

#include <bench/world/load.hpp>
#include <harness/json_http.hpp>
#include <harness/wait.hpp>

#include <algorithm>
#include <cstdio>

namespace medlarmoor::bench {

using harness::callJson;
using harness::Verdict;
using nlohmann::json;

namespace {

constexpr std::uint8_t FirstEntries = 4;
constexpr std::uint32_t DefaultSeconds = 20;
/// A leaving upstream may still get new work for this long.
constexpr Millis DrainGrace = Seconds(4);
constexpr double InForceSeconds = 4;
constexpr double ControlBytesASecond = 12'000;
constexpr Millis ReadyLimit = Seconds(10);

// Shares of the run at which its events begin.
constexpr double DrainAt = 0.15;
constexpr double ReplaceAt = 0.4;
constexpr double ChangeAt = 0.7;

double secondsSince(TimePoint Start) {
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - Start)
      .count();
}

} // namespace

DemoRun::DemoRun(harness::Cluster &World, const Options &Asked)
    : World_(World), Asked_(Asked), Sampler_(World) {
  if (Asked_.Seconds_ == 0)
    Asked_.Seconds_ = DefaultSeconds;
}

int DemoRun::run() {
  Start_ = std::chrono::steady_clock::now();
  if (!startSystem())
    return 1;
  Start_ = std::chrono::steady_clock::now();
  const std::uint64_t BytesBefore = controlBytes();
  if (!startLoad(World_, Load_)) {
    failed("callers do not answer");
    return 1;
  }
  note("flows and requests begin");
  waitForShare(DrainAt);
  const bool Went = drainUpstream() && replaceEntry() && changeDocument();
  if (!Went)
    return 1;
  waitForShare(1);
  LateWork_ = newWork(Drained_) - WorkAtDrain_;
  Elapsed_ = secondsSince(Start_);
  ControlBytes_ = controlBytes() - BytesBefore;
  AllOver_ = finishLoad(World_);
  return report(gatherVerdict(World_, Start_));
}

bool DemoRun::startSystem() {
  if (!World_.start())
    return failed(World_.lastReason());
  if (!startEntries(World_, FirstEntries))
    return failed(World_.lastReason());
  note("four entries are ready");
  return true;
}

bool DemoRun::drainUpstream() {
  config::Upstream &Leaving =
      World_.document().Services_.front().Upstreams_.at(2);
  Leaving.Drain_ = true;
  Drained_ = Leaving.Name_.value();
  (void)callJson(*World_.upstreamHarness(Drained_), "POST", "/control",
                 {{"draining", true}});
  const TimePoint Asked = std::chrono::steady_clock::now();
  if (!applyAndWait(("drain " + Drained_).c_str()))
    return false;
  Sampler_.sampleUntil(Asked + DrainGrace);
  WorkAtDrain_ = newWork(Drained_);
  return true;
}

bool DemoRun::replaceEntry() {
  waitForShare(ReplaceAt);
  if (!World_.startEntry(FirstEntries + 1))
    return failed(World_.lastReason());
  const std::string Joined = World_.entryNames().back();
  if (!World_.waitReady(Joined, ReadyLimit))
    return failed(Joined + " is not ready");
  World_.serve(Joined);
  note(Joined + " has joined");
  const std::string Old = World_.entryNames().front();
  const TimePoint Asked = std::chrono::steady_clock::now();
  RetireCode_ = World_.retireEntry(Old).value_or(-1);
  Sampler_.forget(Old);
  note(Old + " has left, exit code " + std::to_string(RetireCode_) +
       ", after " + std::to_string(secondsSince(Asked)) + " s");
  return true;
}

bool DemoRun::changeDocument() {
  waitForShare(ChangeAt);
  World_.document().Services_.front().Upstreams_.at(6).Weight_ = 2.0;
  return applyAndWait("weight of one upstream doubled");
}

bool DemoRun::applyAndWait(const char *What) {
  const std::uint64_t Next = World_.highestVersion() + 1;
  const TimePoint Asked = std::chrono::steady_clock::now();
  if (!World_.apply())
    return failed(World_.lastReason());
  if (!World_.waitInForce(Next))
    return failed("version " + std::to_string(Next) +
                  " is not in force everywhere: " + What);
  const double Took = secondsSince(Asked);
  SlowestInForce_ = std::max(SlowestInForce_, Took);
  note(std::string(What) + ": version " + std::to_string(Next) +
       " in force everywhere after " + std::to_string(Took) + " s");
  return true;
}

void DemoRun::waitForShare(double Share) {
  const auto Length =
      std::chrono::duration_cast<Nanos>(Seconds(Asked_.Seconds_) * Share);
  Sampler_.sampleUntil(Start_ + Length);
}

void DemoRun::note(const std::string &Line) const {
  std::printf("%6.1f s  %s\n", secondsSince(Start_), Line.c_str());
  std::fflush(stdout);
}

bool DemoRun::failed(const std::string &Why) {
  std::fprintf(stderr, "demo: %s\nlogs: %s\n", Why.c_str(),
               World_.folder().path().c_str());
  World_.folder().keep();
  return false;
}

std::uint64_t DemoRun::newWork(const std::string &Upstream) const {
  const json Counters =
      callJson(*World_.upstreamHarness(Upstream), "GET", "/counters")
          .value_or(json::object());
  return Counters.value("flows_opened", std::uint64_t{0}) +
         Counters.value("runs", std::uint64_t{0});
}

std::uint64_t DemoRun::controlBytes() const {
  const auto Counters =
      callJson(World_.addresses().proxyHarness(), "GET", "/counters");
  if (!Counters)
    return 0;
  const json Bytes = Counters->value("bytes", json::object());
  std::uint64_t Sum = 0;
  for (const char *Class : {"control", "config", "platform"})
    Sum += Bytes.value(Class, std::uint64_t{0});
  return Sum;
}

std::vector<Promise> DemoRun::promises(const Verdict &Seen) const {
  const auto Number = [](std::uint64_t Value) {
    return static_cast<double>(Value);
  };
  const double PerEntry = Number(ControlBytes_) / Elapsed_ / FirstEntries;
  return {{"broken_flows", Number(Seen.BrokenFlows_), 0},
          {"unopened_flows", Number(Seen.FlowsUnopened_), 0},
          {"misrouted_packets", Number(Seen.MisroutedPackets_), 0},
          {"wrong_or_partial_answers", Number(Seen.WrongOrPartialAnswers_), 0},
          {"double_runs", Number(Seen.DoubleRuns_), 0},
          {"false_not_run", Number(Seen.FalseNotRun_), 0},
          {"false_done", Number(Seen.FalseDone_), 0},
          {"cut_requests", Number(Seen.CutCalls_ + Seen.Unanswered_), 0},
          {"answers_not_kept", Number(Seen.DoneBefore_), 0},
          {"new_work_on_drained_upstream", Number(LateWork_), 0},
          {"config_reverts", Number(Sampler_.reverts()), 0},
          {"config_in_force_s", SlowestInForce_, InForceSeconds},
          {"planned_stop_exit_code", static_cast<double>(RetireCode_), 0},
          {"control_bytes_per_s_per_entry", PerEntry, ControlBytesASecond},
          {"idle_run", Seen.Flows_ == 0 || Seen.Done_ == 0 ? 1.0 : 0.0, 0},
          {"unfinished_work", AllOver_ ? 0.0 : 1.0, 0},
          {"missing_witnesses", Number(Seen.Missing_), 0}};
}

int DemoRun::report(const Verdict &Seen) {
  const std::vector<Promise> All = promises(Seen);
  Record Out;
  Out.Experiment_ = "demo";
  Out.Case_ = "muscat";
  Out.Seed_ = Asked_.Seed_;
  Out.Figures_ = {{"flows", Seen.Flows_},
                  {"refused_flows", Seen.FlowsRefused_},
                  {"requests", Seen.Requests_},
                  {"done", Seen.Done_},
                  {"not_run", Seen.NotRun_},
                  {"unknown", Seen.Unknown_},
                  {"imbalance", Sampler_.imbalance().mean()},
                  {"imbalance_samples", Sampler_.imbalance().samples()}};
  std::printf("\n%-36s %12s\n", "what ran", "count");
  for (const auto &[Key, Value] : Out.Figures_.items())
    std::printf("%-36s %12s\n", Key.c_str(), Value.dump().c_str());
  printTable(All);
  for (const std::string &Line : Seen.Details_)
    std::fprintf(stderr, "%s\n", Line.c_str());
  addPromises(All, Out);
  print(Out);
  if (!Out.Held_)
    failed("a promise was broken");
  return Out.Held_ ? 0 : 1;
}

} // namespace medlarmoor::bench
