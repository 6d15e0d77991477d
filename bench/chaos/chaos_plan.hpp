#ifndef MEDLARMOOR_BENCH_CHAOS_CHAOS_PLAN_HPP
#define MEDLARMOOR_BENCH_CHAOS_CHAOS_PLAN_HPP

#include <bench/chaos/chaos_event.hpp>

#include <cstddef>
#include <vector>

namespace medlarmoor::bench::chaos {

/// When something is to be done about an event.
enum class Phase : unsigned char {
  /// It happens.
  Begin,
  /// Those who watch from outside, such as the fabric, have noticed.
  Noticed,
  /// It is healed or made good.
  End,
};

/// One line of the plan.
struct Step {
  /// From the start of the run.
  Nanos At_;
  Phase Phase_;
  /// Index into Plan::Events_.
  std::size_t Event_;
};

/// What happens in one run, wholly given by its seed.
struct Plan {
  std::vector<Event> Events_;
  /// Sorted by time.
  std::vector<Step> Steps_;
};

/// Which events a plan may hold.
enum class Mix : unsigned char {
  /// Only what operators do on purpose.
  Planned,
  /// That and all faults.
  Faults,
};

/// Draws pairs of events that overlap, spread over Length.
[[nodiscard]] Plan makePlan(Mix Kinds, std::uint64_t Seed, Nanos Length);

} // namespace medlarmoor::bench::chaos

#endif // MEDLARMOOR_BENCH_CHAOS_CHAOS_PLAN_HPP
