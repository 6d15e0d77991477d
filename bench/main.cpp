#include <gflags/gflags.h>

#include <cstdio>

DEFINE_string(experiment, "", "experiment to run");

int main(int Argc, char **Argv) {
  gflags::SetUsageMessage(
      "runs one experiment and prints a JSON object a line");
  gflags::SetVersionString(MEDLARMOOR_VERSION);
  gflags::ParseCommandLineFlags(&Argc, &Argv, true);
  std::fprintf(stderr, "unknown experiment '%s'\n", FLAGS_experiment.c_str());
  return 2;
}
