#ifndef MEDLARMOOR_BENCH_CONFIG_CONFIG_PROMISES_HPP
#define MEDLARMOOR_BENCH_CONFIG_CONFIG_PROMISES_HPP

#include <bench/config/config_cases.hpp>
#include <bench/config/config_world.hpp>
#include <bench/world/promise.hpp>

#include <algorithm>
#include <limits>
#include <optional>
#include <string>
#include <vector>

namespace medlarmoor::bench {

/// Times to in force of several changes.
class Times {
public:
  /// A change that was not in force in time counts as Never.
  void add(std::optional<Millis> Each) {
    All_.push_back(Each ? static_cast<double>(Each->count()) : Never);
  }
  [[nodiscard]] double slowest() const {
    return All_.empty() ? Never : *std::max_element(All_.begin(), All_.end());
  }
  [[nodiscard]] double median() const {
    if (All_.empty())
      return Never;
    std::vector<double> Sorted = All_;
    std::sort(Sorted.begin(), Sorted.end());
    return Sorted[Sorted.size() / 2];
  }
  [[nodiscard]] std::size_t count() const { return All_.size(); }

private:
  /// Milliseconds that stand for a change that never was in force.
  static constexpr double Never = 1e9;

  std::vector<double> All_;
};

/// Puts what every case promises into the record: times, and no reverted or
/// half-applied document.
inline void addCommon(ConfigWorld &World, const Times &Seen, Record &Out,
                      std::vector<Promise> More = {}) {
  std::vector<Promise> All{
      {"in_force_ms_p100", Seen.slowest(), InForceBoundMs},
      {"reverts", static_cast<double>(World.reverts()), 0},
      {"half_applied", static_cast<double>(World.halfApplied()), 0}};
  All.insert(All.end(), More.begin(), More.end());
  addPromises(All, Out);
  Out.Figures_["in_force_ms_p50"] = Seen.median();
  Out.Figures_["changes"] = Seen.count();
}

/// The record of a case that could not be run.
inline void addFailure(const std::string &Reason, Record &Out) {
  Out.Figures_["failed"] = Reason;
  Out.Bound_["failed"] = "";
  Out.Held_ = false;
}

} // namespace medlarmoor::bench

#endif // MEDLARMOOR_BENCH_CONFIG_CONFIG_PROMISES_HPP
