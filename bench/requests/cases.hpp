#ifndef MEDLARMOOR_BENCH_REQUESTS_CASES_HPP
#define MEDLARMOOR_BENCH_REQUESTS_CASES_HPP

#include <bench/options.hpp>

#include <vector>

namespace medlarmoor::bench {

/// One case of the experiment "requests".
struct RequestCase {
  const char *Name_;
  /// Runs it and prints its records; false when a bound did not hold.
  bool (*Run_)(const Options &);
};

/// Cases in simulated time: the dispatcher's decision objects on a manual
/// clock with fake upstreams, beside the baselines.
[[nodiscard]] std::vector<RequestCase> queueCases();
/// Cases over real processes.
[[nodiscard]] std::vector<RequestCase> processCases();
/// All of them.
[[nodiscard]] std::vector<RequestCase> requestCases();

} // namespace medlarmoor::bench

#endif // MEDLARMOOR_BENCH_REQUESTS_CASES_HPP
