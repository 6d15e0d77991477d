#include <bench/chaos/chaos_run.hpp>
#include <bench/experiments.hpp>

#include <harness/exit_on_stop.hpp>

#include <cstdio>
#include <filesystem>

namespace medlarmoor::bench {

namespace {

constexpr std::uint32_t DefaultSeconds = 60;

int runMix(chaos::Mix Kinds, const Options &Asked) {
  harness::ClusterOptions Made;
  Made.Seed_ = Asked.Seed_;
  Made.Proxied_ = true;
  harness::Cluster World(Made);
  const harness::ExitOnStop Guard([Folder = World.folder().path()] {
    std::error_code Ignored;
    std::filesystem::remove_all(Folder, Ignored);
  });
  const std::uint32_t Length =
      Asked.Seconds_ == 0 ? DefaultSeconds : Asked.Seconds_;
  return chaos::ChaosRun(World, Kinds, Asked.Seed_, Length).run();
}

} // namespace

int runChaos(const Options &Asked) {
  const bool Planned = Asked.Case_.empty() || Asked.Case_ == "planned";
  const bool Faults = Asked.Case_.empty() || Asked.Case_ == "faults";
  if (!Planned && !Faults) {
    std::fprintf(stderr, "chaos: the cases are planned and faults\n");
    return 2;
  }
  int Worst = 0;
  if (Planned)
    Worst = std::max(Worst, runMix(chaos::Mix::Planned, Asked));
  if (Faults)
    Worst = std::max(Worst, runMix(chaos::Mix::Faults, Asked));
  return Worst;
}

} // namespace medlarmoor::bench
