#ifndef MEDLARMOOR_BENCH_WORLD_LOAD_HPP
#define MEDLARMOOR_BENCH_WORLD_LOAD_HPP

#include <bench/world/load_plan.hpp>
#include <harness/cluster.hpp>

namespace medlarmoor::bench {

/// Starts entries 1 to Count, applies the document, and has each entry serve
/// once it is ready; false with the cluster's lastReason().
[[nodiscard]] bool startEntries(harness::Cluster &World, std::uint8_t Count);

/// Has the callers of the cluster put the load on all services of its
/// document; false when they do not answer.
[[nodiscard]] bool startLoad(harness::Cluster &World, const LoadPlan &Plan);

/// Has the callers start nothing new, and waits until each flow and request is
/// over; false when some are not within Limit.
[[nodiscard]] bool finishLoad(harness::Cluster &World,
                              Millis Limit = Seconds(25));

} // namespace medlarmoor::bench

#endif // MEDLARMOOR_BENCH_WORLD_LOAD_HPP
