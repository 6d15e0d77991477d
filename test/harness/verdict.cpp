#include <harness/verdict.hpp>

#include <harness/cluster.hpp>
#include <harness/json_http.hpp>
#include <harness/judge.hpp>

namespace medlarmoor::harness {

using nlohmann::json;

namespace {

constexpr Millis GatherLimit = Seconds(20);

json ask(Endpoint Where, const char *Target, Verdict &Into) {
  const auto Answer = callJson(Where, "GET", Target, nullptr, GatherLimit);
  if (Answer)
    return *Answer;
  ++Into.Missing_;
  Into.Details_.push_back("no answer from " + Where.text() + Target);
  return json::object();
}

std::string brokenText(const json &Flow, TimePoint Start) {
  const Nanos At(Flow["atNs"].get<std::int64_t>());
  const double Seconds =
      std::chrono::duration<double>(At - Start.time_since_epoch()).count();
  return std::to_string(Seconds) + " s " + Flow.dump();
}

void gatherUpstream(Endpoint Where, RunsByKey &Runs, Verdict &Into) {
  const json Counters = ask(Where, "/counters", Into);
  Into.MisroutedPackets_ += Counters.value("misrouted_packets", 0U);
  Into.MalformedPackets_ += Counters.value("malformed_packets", 0U);
  const json Answer = ask(Where, "/runs", Into);
  if (Answer.contains("runs"))
    addRuns(Answer, Runs);
}

void gatherFlows(Endpoint Caller, TimePoint Start, Verdict &Into) {
  const json Flows =
      ask(Caller, "/counters", Into).value("flows", json::object());
  Into.Flows_ += Flows.value("opened", 0U);
  Into.FlowsRefused_ += Flows.value("refused", 0U);
  Into.FlowsUnopened_ += Flows.value("unopened", 0U);
  Into.BrokenFlows_ += Flows.value("broken", 0U);
  Into.WrongOrPartialAnswers_ += Flows.value("wrong_answers", 0U);
  for (const json &Each : ask(Caller, "/broken", Into))
    Into.Details_.push_back("broken flow " + brokenText(Each, Start));
}

} // namespace

Verdict gatherVerdict(const Cluster &World, TimePoint Start) {
  Verdict Out;
  RunsByKey Runs;
  for (const std::string &Name : World.upstreamNames())
    gatherUpstream(*World.upstreamHarness(Name), Runs, Out);
  gatherFlows(World.callerHarness(), Start, Out);
  judgeKeys(ask(World.callerHarness(), "/keys", Out), Runs, Out);
  judgeRuns(Runs, Out);
  return Out;
}

} // namespace medlarmoor::harness
