#ifndef MEDLARMOOR_BENCH_WORLD_PROMISE_HPP
#define MEDLARMOOR_BENCH_WORLD_PROMISE_HPP

#include <bench/record.hpp>

#include <string>
#include <vector>

namespace medlarmoor::bench {

/// One measured figure with the greatest value that is allowed.
struct Promise {
  /// Key in the record, for example "broken_flows".
  std::string Key_;
  double Measured_ = 0;
  double Bound_ = 0;

  [[nodiscard]] bool held() const noexcept { return Measured_ <= Bound_; }
};

/// Puts the promises into the record: figures, bounds and whether all held.
void addPromises(const std::vector<Promise> &All, Record &Into);

/// Prints a table that a person reads.
void printTable(const std::vector<Promise> &All);

} // namespace medlarmoor::bench

#endif // MEDLARMOOR_BENCH_WORLD_PROMISE_HPP
