#include <bench/requests/process_world.hpp>

#include <bench/world/load.hpp>
#include <harness/json_http.hpp>
#include <medlarmoor/membership/view.hpp>
#include <medlarmoor/request/dispatcher_role.hpp>

#include <cstdio>
#include <thread>

namespace medlarmoor::bench {

namespace {

using harness::callJson;
using nlohmann::json;

constexpr std::uint8_t Entries = 5;
constexpr Millis Deadline = Seconds(2);
const char *const Service = "booking-portal";

bool failed(const std::string &Why) {
  std::fprintf(stderr, "requests: %s\n", Why.c_str());
  return false;
}

harness::ClusterOptions optionsFor(const Options &Asked, bool Proxied) {
  harness::ClusterOptions Out;
  Out.Seed_ = Asked.Seed_;
  Out.Proxied_ = Proxied;
  return Out;
}

} // namespace

ProcessWorld::ProcessWorld(const Options &Asked, bool Proxied)
    : Seed_(Asked.Seed_), World_(optionsFor(Asked, Proxied)) {}

bool ProcessWorld::start(double Rate) {
  if (!World_.start())
    return failed(World_.lastReason());
  if (!startEntries(World_, Entries) || !World_.waitInForce(1))
    return failed("the entries are not ready " + World_.lastReason());
  // Requests whose keys were minted before the entries agreed are unknown.
  run(Seconds(2));
  const json Load{{"services", {Service}},
                  {"rate", Rate},
                  {"deadlineMs", Deadline.count()},
                  {"domain", World_.document().Domains_.front().Name_.value()}};
  if (!callJson(World_.callerHarness(), "POST", "/requests", Load))
    return failed("the caller does not answer");
  return true;
}

harness::Verdict ProcessWorld::finish() {
  if (!finishLoad(World_))
    failed("some requests are not over");
  return gatherVerdict(World_);
}

std::string ProcessWorld::dispatcher() const {
  std::vector<membership::Member> Members;
  for (const std::string &Name : World_.entryNames())
    Members.push_back({EntryName(Name), Ipv4()});
  const membership::View All(EntryName(), Members);
  return All.home(request::homeKey(ServiceName(Service)))->Name_.value();
}

void ProcessWorld::setFaults(std::size_t Count, const json &Faults) {
  for (const config::Service &Each : World_.document().Services_)
    if (Each.Name_.value() == Service)
      for (std::size_t I = 0; I < Count && I < Each.Upstreams_.size(); ++I)
        (void)callJson(
            *World_.upstreamHarness(Each.Upstreams_[I].Name_.value()), "POST",
            "/control", Faults);
}

void ProcessWorld::run(Millis Time) { std::this_thread::sleep_for(Time); }

bool report(const std::string &Case, const ProcessWorld &World,
            const harness::Verdict &Got,
            const std::function<void(Record &)> &Extra) {
  Record Out;
  Out.Experiment_ = "requests";
  Out.Case_ = Case;
  Out.Seed_ = World.seed();
  const double Requests = static_cast<double>(Got.Requests_);
  Out.Figures_ = {{"in_process", false},
                  {"requests", Got.Requests_},
                  {"done", Got.Done_},
                  {"not_run", Got.NotRun_},
                  {"unknown", Got.Unknown_},
                  {"unknown_share", double(Got.Unknown_) / Requests},
                  {"unanswered", Got.Unanswered_},
                  {"cut_calls", Got.CutCalls_},
                  {"double_runs", Got.DoubleRuns_},
                  {"false_not_run", Got.FalseNotRun_},
                  {"false_done", Got.FalseDone_},
                  {"wrong_or_partial", Got.WrongOrPartialAnswers_},
                  {"missing_witnesses", Got.Missing_}};
  for (const char *Key : {"double_runs", "false_not_run", "false_done",
                          "wrong_or_partial", "missing_witnesses"}) {
    Out.Bound_[Key] = 0;
    Out.Held_ &= Out.Figures_[Key] == 0;
  }
  Out.Held_ &= Got.Requests_ > 0 && Got.Done_ > 0;
  if (Extra)
    Extra(Out);
  print(Out);
  for (std::size_t I = 0; !Out.Held_ && I < Got.Details_.size() && I < 20; ++I)
    std::fprintf(stderr, "requests: %s: %s\n", Case.c_str(),
                 Got.Details_[I].c_str());
  return Out.Held_;
}

} // namespace medlarmoor::bench
