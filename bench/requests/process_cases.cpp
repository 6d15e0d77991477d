#include <bench/requests/cases.hpp>
#include <bench/requests/large_answer.hpp>
#include <bench/requests/process_world.hpp>

#include <harness/json_http.hpp>
#include <harness/wait.hpp>
#include <medlarmoor/core/clock.hpp>
#include <medlarmoor/request/key_parts.hpp>

namespace medlarmoor::bench {

namespace {

using harness::callJson;
using harness::Verdict;
using nlohmann::json;

constexpr double Rate = 120;
constexpr Millis Before = Seconds(2);
constexpr Millis After = Seconds(4);
constexpr Millis Pause = Seconds(10);
constexpr Millis FaultTime = Seconds(4);
constexpr Millis LeaveGrace = Seconds(3);
constexpr std::size_t FaultyUpstreams = 4;
constexpr std::size_t LargeBytes = 200'000'000;
/// What an entry may hold in all.
constexpr std::uint64_t EntryMemoryKiB = 64 * 1024;

void bound(Record &Into, const char *Key, std::uint64_t Measured,
           std::uint64_t Most) {
  Into.Figures_[Key] = Measured;
  Into.Bound_[Key] = Most;
  Into.Held_ &= Measured <= Most;
}

bool dispatcherKilled(const Options &Asked) {
  ProcessWorld World(Asked);
  if (!World.start(Rate))
    return false;
  ProcessWorld::run(Before);
  const std::string Dead = World.dispatcher();
  World.cluster().killEntry(Dead);
  ProcessWorld::run(Millis(1500));
  World.cluster().forgetEntry(Dead);
  ProcessWorld::run(After);
  return report("dispatcher_killed", World, World.finish());
}

bool dispatcherPaused(const Options &Asked) {
  ProcessWorld World(Asked);
  if (!World.start(Rate))
    return false;
  ProcessWorld::run(Before);
  const std::string Held = World.dispatcher();
  World.cluster().entry(Held).pause();
  ProcessWorld::run(Pause);
  World.cluster().entry(Held).resume();
  ProcessWorld::run(After);
  return report("dispatcher_stopped_10s", World, World.finish());
}

bool plannedStop(const Options &Asked) {
  ProcessWorld World(Asked);
  if (!World.start(Rate))
    return false;
  ProcessWorld::run(Before);
  const std::string Leaver = World.dispatcher();
  const auto Code = World.cluster().retireEntry(Leaver);
  ProcessWorld::run(Before);
  const Verdict Got = World.finish();
  return report("planned_stop", World, Got, [&](Record &Out) {
    bound(Out, "cut_calls", Got.CutCalls_, 0);
    bound(Out, "unanswered", Got.Unanswered_, 0);
    bound(Out, "exit_code", static_cast<std::uint64_t>(Code.value_or(255)), 0);
  });
}

/// Sets one fault of the answers of some upstreams for a while.
bool faultyAnswers(const Options &Asked, const char *Case, const char *Fault) {
  ProcessWorld World(Asked);
  if (!World.start(Rate))
    return false;
  ProcessWorld::run(Before);
  World.setFaults(FaultyUpstreams, {{Fault, true}});
  ProcessWorld::run(FaultTime);
  World.setFaults(FaultyUpstreams, {{Fault, false}});
  ProcessWorld::run(After);
  return report(Case, World, World.finish());
}

bool answersCrossed(const Options &Asked) {
  return faultyAnswers(Asked, "answers_crossed", "cross");
}
bool answersLate(const Options &Asked) {
  return faultyAnswers(Asked, "answers_late", "late");
}
bool answersCut(const Options &Asked) {
  return faultyAnswers(Asked, "answers_cut", "cut");
}
bool answersDuplicate(const Options &Asked) {
  return faultyAnswers(Asked, "answers_duplicate", "duplicate");
}

bool domainCut(const Options &Asked) {
  ProcessWorld World(Asked, true);
  if (!World.start(Rate))
    return false;
  ProcessWorld::run(Before);
  harness::Cluster &All = World.cluster();
  const std::vector<std::string> Names = All.entryNames();
  for (std::size_t A = 0; A < 2; ++A)
    for (std::size_t B = 2; B < Names.size(); ++B)
      (void)callJson(All.addresses().proxyHarness(), "PUT",
                     "/rules/cut-" + std::to_string(A) + "-" +
                         std::to_string(B),
                     {{"source", All.settings(Names[A]).Address_.text()},
                      {"destination", All.settings(Names[B]).Address_.text()},
                      {"action", "cut"}});
  ProcessWorld::run(Seconds(5));
  (void)callJson(All.addresses().proxyHarness(), "DELETE", "/rules");
  ProcessWorld::run(After);
  const auto Passed =
      callJson(All.addresses().proxyHarness(), "GET", "/counters");
  return report("domain_cut_in_two", World, World.finish(), [&](Record &Out) {
    // Without traffic between entries through the proxy there was no cut.
    Out.Figures_["bytes_through_proxy"] = Passed ? (*Passed)["bytes"] : json();
    Out.Bound_["internal_bytes_through_proxy_above"] = 0;
    Out.Held_ &= Passed && (*Passed)["bytes"].value("internal", 0) > 0;
  });
}

bool upstreamLeaves(const Options &Asked) {
  ProcessWorld World(Asked);
  if (!World.start(Rate))
    return false;
  ProcessWorld::run(Before);
  harness::Cluster &All = World.cluster();
  config::Upstream &Leaver = All.document().Services_.front().Upstreams_[0];
  Leaver.Drain_ = true;
  const std::uint64_t Next = All.highestVersion() + 1;
  if (!All.apply())
    return false;
  const Endpoint Harness = *All.upstreamHarness(Leaver.Name_.value());
  const auto Runs = [&] {
    const auto Counters = callJson(Harness, "GET", "/counters");
    return Counters ? Counters->value("runs", std::uint64_t{0}) : 0;
  };
  ProcessWorld::run(LeaveGrace);
  const std::uint64_t AtGrace = Runs();
  ProcessWorld::run(After);
  const std::uint64_t Late = Runs() - AtGrace;
  const bool InForce = All.waitInForce(Next).has_value();
  return report("upstream_leaves", World, World.finish(), [&](Record &Out) {
    bound(Out, "new_requests_after_3s", Late, 0);
    Out.Held_ &= InForce && AtGrace > 0;
  });
}

bool silentConnections(const Options &Asked) {
  ProcessWorld World(Asked, true);
  if (!World.start(Rate))
    return false;
  ProcessWorld::run(Before);
  const auto Silenced =
      callJson(World.cluster().addresses().proxyHarness(), "POST", "/silence",
               {{"port", "upstream-requests"}});
  ProcessWorld::run(After);
  return report("silent_connections", World, World.finish(), [&](Record &Out) {
    Out.Figures_["silenced"] = Silenced ? (*Silenced)["connections"] : json(0);
  });
}

/// Downloads one answer of hundreds of megabytes through every entry.
bool largeAnswer(const Options &Asked) {
  ProcessWorld World(Asked);
  if (!World.start(0))
    return false;
  World.setFaults(SIZE_MAX, {{"answerBytes", LargeBytes}});
  Random Source(Asked.Seed_);
  Record Out{"requests", "large_answer", "medlarmoor", Asked.Seed_};
  std::uint64_t Most = 0;
  std::uint64_t Broken = 0;
  for (const std::string &Name : World.cluster().entryNames()) {
    const config::Settings &Own = World.cluster().settings(Name);
    const Download Got = download(
        {Own.Address_, Own.Ports_.Requests_},
        request::mintKey(Own.Domain_, Clock().wallNow(), Source).value());
    Broken += Got.whole() && Got.Bytes_ > LargeBytes ? 0 : 1;
    Out.Figures_["megabytes_a_second"].push_back(
        static_cast<double>(Got.Bytes_) / 1e6 / Got.Seconds_);
  }
  for (const std::string &Name : World.cluster().entryNames())
    Most = std::max(Most, peakMemoryKiB(World.cluster().entry(Name).id()));
  Out.Figures_["in_process"] = false;
  Out.Figures_["answer_bytes"] = LargeBytes;
  bound(Out, "answers_not_whole", Broken, 0);
  bound(Out, "peak_entry_memory_kib", Most, EntryMemoryKiB);
  print(Out);
  return Out.Held_;
}

} // namespace

std::vector<RequestCase> processCases() {
  return {{"dispatcher_killed", dispatcherKilled},
          {"dispatcher_stopped_10s", dispatcherPaused},
          {"planned_stop", plannedStop},
          {"answers_crossed", answersCrossed},
          {"answers_late", answersLate},
          {"answers_cut", answersCut},
          {"answers_duplicate", answersDuplicate},
          {"domain_cut_in_two", domainCut},
          {"upstream_leaves", upstreamLeaves},
          {"silent_connections", silentConnections},
          {"large_answer", largeAnswer}};
}

} // namespace medlarmoor::bench
