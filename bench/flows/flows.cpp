#include <bench/experiments.hpp>
#include <bench/flows/flow_case.hpp>
#include <bench/flows/flow_cost.hpp>

namespace medlarmoor::bench {

namespace {

constexpr FlowPolicy Policies[] = {
    FlowPolicy::Medlarmoor, FlowPolicy::Modulo, FlowPolicy::LocalTables,
    FlowPolicy::AlwaysHome, FlowPolicy::SettledFastPath};
/// Our own policy runs with this many seeds from the one asked for, the
/// baselines with the first.
constexpr std::uint64_t Seeds = 3;

bool wanted(const Options &Asked, const std::string &Name) {
  return Asked.Case_.empty() || Asked.Case_ == Name;
}

} // namespace

int runFlows(const Options &Asked) {
  bool Held = true;
  for (const FlowCase &Each : flowCases()) {
    if (!wanted(Asked, Each.Name_))
      continue;
    for (std::uint64_t I = 0; I < Seeds; ++I)
      Held &= runFlowCase(Each, FlowPolicy::Medlarmoor, Asked.Seed_ + I);
    for (const FlowPolicy Policy : Policies)
      if (Policy != FlowPolicy::Medlarmoor)
        Held &= runFlowCase(Each, Policy, Asked.Seed_);
  }
  for (const FlowCost &Each : flowCosts())
    if (wanted(Asked, Each.Name_))
      Held &= Each.Run_(Asked.Seed_);
  return Held ? 0 : 1;
}

} // namespace medlarmoor::bench
