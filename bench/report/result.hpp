#ifndef MEDLARMOOR_BENCH_REPORT_RESULT_HPP
#define MEDLARMOOR_BENCH_REPORT_RESULT_HPP

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace medlarmoor::bench {

/// Points of a figure over time: seconds and value.
using Series = std::vector<std::pair<double, double>>;

/// One record of a result file, as Record::text() wrote it.
struct Result {
  std::string Experiment_;
  std::string Case_;
  std::string Policy_;
  std::string Seed_;
  std::map<std::string, double> Figures_;
  std::map<std::string, Series> Series_;
  std::map<std::string, double> Bound_;
  /// Empty for a baseline, which has no bound.
  std::optional<bool> Held_;

  /// What the same record of another run has in common.
  [[nodiscard]] std::string key() const {
    return Experiment_ + " " + Case_ + " " + Policy_ + " " + Seed_;
  }
  /// The case, with the policy and seed where they tell records apart.
  [[nodiscard]] std::string label() const {
    const std::string Policy = Policy_ == "medlarmoor" ? "" : ", " + Policy_;
    return Case_ + Policy + " (" + Seed_ + ")";
  }
};

/// Reads a file of JSON lines; lines that are no records are skipped. Nothing,
/// with Reason, when the file cannot be read.
[[nodiscard]] std::optional<std::vector<Result>>
readResults(const std::string &File, std::string &Reason);

} // namespace medlarmoor::bench

#endif // MEDLARMOOR_BENCH_REPORT_RESULT_HPP
