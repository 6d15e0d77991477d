#include <bench/flows/flow_cost.hpp>

namespace medlarmoor::bench {

std::vector<FlowCost> flowCosts() { return {}; }

} // namespace medlarmoor::bench
