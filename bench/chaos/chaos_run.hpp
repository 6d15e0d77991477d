#ifndef MEDLARMOOR_BENCH_CHAOS_CHAOS_RUN_HPP
#define MEDLARMOOR_BENCH_CHAOS_CHAOS_RUN_HPP

#include <bench/chaos/chaos_actions.hpp>
#include <bench/chaos/chaos_plan.hpp>
#include <bench/chaos/operators.hpp>
#include <bench/options.hpp>
#include <bench/world/promise.hpp>
#include <bench/world/sampler.hpp>
#include <harness/cluster.hpp>
#include <harness/verdict.hpp>

#include <string>
#include <vector>

namespace medlarmoor::bench::chaos {

/// One run of the chaos experiment over a cluster of its own.
class ChaosRun {
public:
  ChaosRun(harness::Cluster &World, Mix Kinds, std::uint64_t Seed,
           std::uint32_t Length);

  /// Runs the plan and prints the record. 0 when every promise held, else 1.
  [[nodiscard]] int run();

private:
  bool startSystem();
  void runPlan();
  void settle();
  void note(const std::string &Line) const;
  [[nodiscard]] std::vector<Promise>
  promises(const harness::Verdict &Seen) const;
  [[nodiscard]] int report(const harness::Verdict &Seen);
  [[nodiscard]] const char *caseName() const;

  harness::Cluster &World_;
  Mix Kinds_;
  std::uint64_t Seed_;
  std::uint32_t Seconds_;
  Sampler Sampler_;
  Operators Operators_;
  ChaosActions Actions_;
  TimePoint Start_;
  bool Settled_ = false;
  bool AllOver_ = false;
  double ConvergeSeconds_ = 0;
  std::uint64_t FinalVersion_ = 0;
};

} // namespace medlarmoor::bench::chaos

#endif // MEDLARMOOR_BENCH_CHAOS_CHAOS_RUN_HPP
