#include <bench/chaos/chaos_run.hpp>

#include <bench/world/load.hpp>
#include <harness/json_http.hpp>

#include <cstdio>

namespace medlarmoor::bench::chaos {

using harness::callJson;
using harness::Verdict;

namespace {

constexpr std::uint8_t FirstEntries = 4;
constexpr double InForceSeconds = 4;
constexpr Millis ConvergeLimit = Seconds(20);
/// Version of the document that the run begins with.
constexpr std::uint64_t FirstVersion = 1;
/// The fabric disturbs this share of packets all the time, and learns late.
constexpr double Disorder = 0.01;
constexpr int FabricLagMs = 200;

double number(std::uint64_t Value) { return static_cast<double>(Value); }

} // namespace

ChaosRun::ChaosRun(harness::Cluster &World, Mix Kinds, std::uint64_t Seed,
                   std::uint32_t Length)
    : World_(World), Kinds_(Kinds), Seed_(Seed), Seconds_(Length),
      Sampler_(World), Operators_(World),
      Actions_(World, Operators_, Sampler_) {}

const char *ChaosRun::caseName() const {
  return Kinds_ == Mix::Planned ? "planned" : "faults";
}

int ChaosRun::run() {
  Start_ = std::chrono::steady_clock::now();
  if (!startSystem()) {
    std::fprintf(stderr, "chaos: %s\n", World_.lastReason().c_str());
    return 1;
  }
  Start_ = std::chrono::steady_clock::now();
  runPlan();
  settle();
  AllOver_ = finishLoad(World_);
  return report(gatherVerdict(World_, Start_));
}

bool ChaosRun::startSystem() {
  if (!World_.start() || !startEntries(World_, FirstEntries))
    return false;
  Actions_.begin(FirstEntries);
  return callJson(World_.addresses().fabricHarness(), "POST", "/control",
                  {{"duplicate", Disorder},
                   {"reorder", Disorder},
                   {"lagMs", FabricLagMs}}) &&
         startLoad(World_, {});
}

void ChaosRun::runPlan() {
  const Plan Steps = makePlan(Kinds_, Seed_, Seconds(Seconds_));
  const auto Poll = [this] { Actions_.poll(); };
  for (const Step &Each : Steps.Steps_) {
    Sampler_.sampleUntil(Start_ + Each.At_, Poll);
    note(Actions_.perform(Each, Steps.Events_[Each.Event_]));
  }
  Sampler_.sampleUntil(Start_ + Seconds(Seconds_), Poll);
}

void ChaosRun::settle() {
  Settled_ = Actions_.healAll() && Operators_.waitAll();
  const TimePoint Healed = std::chrono::steady_clock::now();
  const auto Took = World_.waitInForce(
      std::max(Operators_.highest(), FirstVersion), ConvergeLimit);
  Settled_ = Settled_ && Took.has_value();
  ConvergeSeconds_ =
      std::chrono::duration<double>(std::chrono::steady_clock::now() - Healed)
          .count();
  FinalVersion_ = World_.highestVersion();
  note("settled on version " + std::to_string(FinalVersion_) + " after " +
       std::to_string(ConvergeSeconds_) + " s");
}

void ChaosRun::note(const std::string &Line) const {
  if (Line.empty())
    return;
  const double At =
      std::chrono::duration<double>(std::chrono::steady_clock::now() - Start_)
          .count();
  std::fprintf(stderr, "%6.1f s  %s\n", At, Line.c_str());
}

std::vector<Promise> ChaosRun::promises(const Verdict &Seen) const {
  const std::uint64_t Changes = FinalVersion_ - FirstVersion;
  const std::uint64_t Accepted = Operators_.accepted();
  const std::uint64_t Lost = Accepted > Changes ? Accepted - Changes : 0;
  const std::uint64_t Known = Accepted + Operators_.uncertain();
  const std::uint64_t Invented = Changes > Known ? Changes - Known : 0;
  std::vector<Promise> Out{
      {"misrouted_packets", number(Seen.MisroutedPackets_), 0},
      {"double_runs", number(Seen.DoubleRuns_), 0},
      {"false_not_run", number(Seen.FalseNotRun_), 0},
      {"false_done", number(Seen.FalseDone_), 0},
      {"wrong_or_partial_answers", number(Seen.WrongOrPartialAnswers_), 0},
      {"config_reverts", number(Sampler_.reverts()), 0},
      {"changes_lost", number(Lost), 0},
      {"changes_invented", number(Invented), 0},
      {"changes_doubled", number(Operators_.doubled()), 0},
      {"failed_starts", number(Actions_.failedStarts()), 0},
      {"config_in_force_s", ConvergeSeconds_, InForceSeconds},
      {"unsettled", Settled_ ? 0.0 : 1.0, 0},
      {"idle_run", Seen.Flows_ == 0 || Seen.Done_ == 0 ? 1.0 : 0.0, 0},
      {"unfinished_work", AllOver_ ? 0.0 : 1.0, 0},
      {"missing_witnesses", number(Seen.Missing_), 0}};
  if (Kinds_ == Mix::Planned) {
    Out.push_back({"broken_flows", number(Seen.BrokenFlows_), 0});
    Out.push_back({"unopened_flows", number(Seen.FlowsUnopened_), 0});
    Out.push_back(
        {"cut_requests", number(Seen.CutCalls_ + Seen.Unanswered_), 0});
    Out.push_back({"answers_not_kept", number(Seen.DoneBefore_), 0});
    Out.push_back({"failed_stops", number(Actions_.failedStops()), 0});
  }
  return Out;
}

int ChaosRun::report(const Verdict &Seen) {
  Record Out;
  Out.Experiment_ = "chaos";
  Out.Case_ = caseName();
  Out.Seed_ = Seed_;
  Out.Figures_ = {{"seconds", Seconds_},
                  {"flows", Seen.Flows_},
                  {"broken_flows", Seen.BrokenFlows_},
                  {"refused_flows", Seen.FlowsRefused_},
                  {"unopened_flows", Seen.FlowsUnopened_},
                  {"requests", Seen.Requests_},
                  {"done", Seen.Done_},
                  {"answers_not_kept", Seen.DoneBefore_},
                  {"not_run", Seen.NotRun_},
                  {"unknown", Seen.Unknown_},
                  {"unanswered", Seen.Unanswered_},
                  {"cut_calls", Seen.CutCalls_},
                  {"imbalance", Sampler_.imbalance().mean()},
                  {"changes_accepted", Operators_.accepted()},
                  {"changes_refused", Operators_.refused()},
                  {"changes_uncertain", Operators_.uncertain()},
                  {"failed_stops", Actions_.failedStops()}};
  addPromises(promises(Seen), Out);
  print(Out);
  if (Out.Held_)
    return 0;
  World_.folder().keep();
  for (const std::string &Line : Seen.Details_)
    std::fprintf(stderr, "%s\n", Line.c_str());
  std::fprintf(stderr,
               "logs: %s\nrepeat: medlarmoor-bench --experiment chaos --case "
               "%s --seed %llu --seconds %u\n",
               World_.folder().path().c_str(), caseName(),
               static_cast<unsigned long long>(Seed_), Seconds_);
  return 1;
}

} // namespace medlarmoor::bench::chaos
