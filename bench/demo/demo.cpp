#include <bench/demo/demo_run.hpp>
#include <bench/experiments.hpp>

#include <harness/exit_on_stop.hpp>

#include <filesystem>

int medlarmoor::bench::runDemo(const Options &Asked) {
  harness::ClusterOptions Made;
  Made.Seed_ = Asked.Seed_;
  Made.Proxied_ = true;
  harness::Cluster World(Made);
  const harness::ExitOnStop Guard([Folder = World.folder().path()] {
    std::error_code Ignored;
    std::filesystem::remove_all(Folder, Ignored);
  });
  return DemoRun(World, Asked).run();
}
