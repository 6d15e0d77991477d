#ifndef MEDLARMOOR_HARNESS_BENCH_RUN_HPP
#define MEDLARMOOR_HARNESS_BENCH_RUN_HPP

#include <medlarmoor/core/time.hpp>

#include <nlohmann/json.hpp>

#include <optional>
#include <string>
#include <vector>

namespace medlarmoor::harness {

/// What one run of medlarmoor-bench gave.
struct BenchRun {
  /// Nothing when it did not end in time.
  std::optional<int> Code_;
  /// Its last record; null when there was none.
  nlohmann::json Record_;
  /// All that it wrote.
  std::string Log_;
};

/// Runs medlarmoor-bench with these arguments and waits.
[[nodiscard]] BenchRun runBench(const std::vector<std::string> &Arguments,
                                Millis Limit);

} // namespace medlarmoor::harness

#endif // MEDLARMOOR_HARNESS_BENCH_RUN_HPP
