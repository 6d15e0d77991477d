#ifndef MEDLARMOOR_BENCH_RECORD_HPP
#define MEDLARMOOR_BENCH_RECORD_HPP

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>

namespace medlarmoor::bench {

/// The outcome of one case of an experiment: what was measured, what the
/// stated bound is and whether it held. Baselines carry no bound and held.
struct Record {
  std::string Experiment_;
  std::string Case_;
  /// The policy that was measured, "medlarmoor" or the name of a baseline.
  std::string Policy_ = "medlarmoor";
  std::uint64_t Seed_ = 1;
  nlohmann::json Figures_ = nlohmann::json::object();
  nlohmann::json Bound_ = nlohmann::json::object();
  bool Held_ = true;

  /// One JSON object on one line, without the line end.
  [[nodiscard]] std::string text() const;
};

/// Prints the record to standard output and flushes it.
void print(const Record &Each);

} // namespace medlarmoor::bench

#endif // MEDLARMOOR_BENCH_RECORD_HPP
