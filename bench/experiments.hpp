#ifndef MEDLARMOOR_BENCH_EXPERIMENTS_HPP
#define MEDLARMOOR_BENCH_EXPERIMENTS_HPP

#include <bench/options.hpp>

namespace medlarmoor::bench {

/// Each runs one experiment, prints its records and returns the exit code: 0
/// when every bound held, 1 when one did not, 2 for a usage error.
int runChaos(const Options &Asked);
int runConfig(const Options &Asked);
int runDemo(const Options &Asked);
int runEdgeSoak(const Options &Asked);
int runFlows(const Options &Asked);
int runMembership(const Options &Asked);
int runRequests(const Options &Asked);
/// Turns the result files named by Asked.Words_ into an HTML report.
int runReport(const Options &Asked);

} // namespace medlarmoor::bench

#endif // MEDLARMOOR_BENCH_EXPERIMENTS_HPP
