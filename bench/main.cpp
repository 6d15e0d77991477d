#include <bench/experiments.hpp>

#include <gflags/gflags.h>

#include <array>
#include <cstdio>
#include <string>

DEFINE_string(experiment, "",
              "chaos, config, demo, edge_soak, flows, membership or requests");
DEFINE_uint64(seed, 1, "seed of all random choices");
DEFINE_string(case, "", "run only the case of this name");
DEFINE_uint32(seconds, 0, "length of timed experiments; 0 takes their own");

namespace {

using namespace medlarmoor::bench;

struct Entry {
  const char *Name_;
  int (*Run_)(const Options &);
};

constexpr std::array Experiments{
    Entry{"chaos", runChaos},   Entry{"config", runConfig},
    Entry{"demo", runDemo},     Entry{"edge_soak", runEdgeSoak},
    Entry{"flows", runFlows},   Entry{"membership", runMembership},
    Entry{"report", runReport}, Entry{"requests", runRequests}};

} // namespace

int main(int Argc, char **Argv) {
  gflags::SetUsageMessage(
      "runs experiments over real processes, a JSON object a line\n"
      "  medlarmoor-bench --experiment NAME [--seed N] [--case NAME]\n"
      "  medlarmoor-bench report RESULTS [EARLIER_RESULTS] > report.html");
  gflags::SetVersionString(MEDLARMOOR_VERSION);
  gflags::ParseCommandLineFlags(&Argc, &Argv, true);
  Options Asked{FLAGS_seed, FLAGS_case, FLAGS_seconds, {Argv + 1, Argv + Argc}};
  std::string Name = FLAGS_experiment;
  if (Name.empty() && !Asked.Words_.empty()) {
    Name = Asked.Words_.front();
    Asked.Words_.erase(Asked.Words_.begin());
  }
  for (const Entry &Each : Experiments)
    if (Name == Each.Name_)
      return Each.Run_(Asked);
  std::fprintf(stderr, "unknown experiment '%s'; see --help\n", Name.c_str());
  return 2;
}
