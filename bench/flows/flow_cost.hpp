#ifndef MEDLARMOOR_BENCH_FLOWS_FLOW_COST_HPP
#define MEDLARMOOR_BENCH_FLOWS_FLOW_COST_HPP

#include <cstdint>
#include <string>
#include <vector>

namespace medlarmoor::bench {

/// One measurement of what the flow door costs.
struct FlowCost {
  std::string Name_;
  /// Prints its record; true when the bounds held.
  bool (*Run_)(std::uint64_t Seed);
};

[[nodiscard]] std::vector<FlowCost> flowCosts();

/// Control bytes a second of an entry with 300,000 flows and 3,000 new ones a
/// second.
bool measureControl(std::uint64_t Seed);
/// Time of a decision and memory at 500,000 flows.
bool measureDecision(std::uint64_t Seed);
/// Packets a second of one flow thread against a bare relay.
bool measureThroughput(std::uint64_t Seed);

} // namespace medlarmoor::bench

#endif // MEDLARMOOR_BENCH_FLOWS_FLOW_COST_HPP
