#ifndef MEDLARMOOR_BENCH_FLOWS_FLOW_CASE_HPP
#define MEDLARMOOR_BENCH_FLOWS_FLOW_CASE_HPP

#include <bench/flows/flow_policy.hpp>
#include <bench/record.hpp>

#include <functional>
#include <string>
#include <vector>

namespace medlarmoor::bench {

class FlowStage;

/// One case: what happens while callers' flows go on.
struct FlowCase {
  std::string Name_;
  /// Planned changes may break no flow at all.
  bool Planned_ = true;
  /// Simulated seconds after the change began.
  int Seconds_ = 40;
  std::function<void(FlowStage &)> Happen_;
};

/// All cases in which something changes.
[[nodiscard]] std::vector<FlowCase> flowCases();

/// Runs a case under a policy and prints its record; true when the bounds
/// held. Baselines have none.
bool runFlowCase(const FlowCase &Each, FlowPolicy Policy, std::uint64_t Seed);

} // namespace medlarmoor::bench

#endif // MEDLARMOOR_BENCH_FLOWS_FLOW_CASE_HPP
