#include <bench/flows/flow_cost.hpp>

namespace medlarmoor::bench {

std::vector<FlowCost> flowCosts() {
  return {{"control_at_300000_flows", measureControl},
          {"decision_at_500000_flows", measureDecision},
          {"throughput", measureThroughput}};
}

} // namespace medlarmoor::bench
