#ifndef MEDLARMOOR_BENCH_MEMBERSHIP_PROCESS_CASE_HPP
#define MEDLARMOOR_BENCH_MEMBERSHIP_PROCESS_CASE_HPP

#include <bench/options.hpp>

namespace medlarmoor::bench {

/// Starts Count entry daemons of one failure domain without doors, lets them
/// run and prints what each of them spent on control.
bool runProcesses(int Count, const Options &Asked);

} // namespace medlarmoor::bench

#endif // MEDLARMOOR_BENCH_MEMBERSHIP_PROCESS_CASE_HPP
