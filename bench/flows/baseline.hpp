#ifndef MEDLARMOOR_BENCH_FLOWS_BASELINE_HPP
#define MEDLARMOOR_BENCH_FLOWS_BASELINE_HPP

#include <bench/flows/flow_policy.hpp>

#include <harness/flow_fleet.hpp>

#include <map>
#include <set>
#include <unordered_map>
#include <utility>

namespace medlarmoor::bench {

/// The policies that ours is compared with. They take the documents and views
/// that the fleet's directors have at the moment.
class Baseline {
public:
  Baseline(FlowPolicy Policy, harness::FlowFleet &Fleet);

  [[nodiscard]] harness::Delivery send(std::size_t Entry, Endpoint From,
                                       Endpoint To, harness::Flags Set);
  /// Forgets settled slots that were learnt before; called once a second.
  void refresh();

private:
  [[nodiscard]] harness::Delivery modulo(std::size_t Entry, flow::FlowId Id);
  [[nodiscard]] harness::Delivery local(std::size_t Entry, flow::FlowId Id);
  [[nodiscard]] harness::Delivery home(std::size_t Entry, flow::FlowId Id);
  [[nodiscard]] bool settled(std::size_t Entry, flow::FlowId Id);
  [[nodiscard]] std::size_t slotOf(std::size_t Entry, flow::FlowId Id);

  FlowPolicy Policy_;
  harness::FlowFleet &Fleet_;
  /// What each entry remembers.
  std::unordered_map<std::size_t,
                     std::unordered_map<std::uint64_t, flow::UpstreamIndex>>
      Records_;
  /// Slots that were not settled when the homes last told, by service and
  /// slot.
  std::set<std::pair<flow::ServiceIndex, std::size_t>> Unsettled_;
};

} // namespace medlarmoor::bench

#endif // MEDLARMOOR_BENCH_FLOWS_BASELINE_HPP
