#ifndef MEDLARMOOR_BENCH_OPTIONS_HPP
#define MEDLARMOOR_BENCH_OPTIONS_HPP

#include <cstdint>
#include <string>
#include <vector>

namespace medlarmoor::bench {

/// What the command line asks of one experiment.
struct Options {
  std::uint64_t Seed_ = 1;
  /// Only the case of this name; all cases when empty.
  std::string Case_;
  /// Length of timed experiments in seconds; 0 takes the experiment's own.
  std::uint32_t Seconds_ = 0;
  /// Further words of the command line, for example files to report on.
  std::vector<std::string> Words_;
};

} // namespace medlarmoor::bench

#endif // MEDLARMOOR_BENCH_OPTIONS_HPP
