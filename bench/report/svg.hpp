#ifndef MEDLARMOOR_BENCH_REPORT_SVG_HPP
#define MEDLARMOOR_BENCH_REPORT_SVG_HPP

#include <bench/report/result.hpp>

#include <optional>
#include <string>
#include <vector>

namespace medlarmoor::bench {

/// One row of a bar chart: this run beside an earlier one.
struct Bar {
  std::string Label_;
  double Now_ = 0;
  std::optional<double> Before_;
  /// The greatest value that is allowed.
  std::optional<double> Bound_;
};

/// One line of a line chart.
struct Line {
  std::string Label_;
  Series Points_;
  /// Drawn dashed.
  bool Earlier_ = false;
};

/// A chart of horizontal bars; a bar over its bound is red, the bound is a
/// mark across its row.
[[nodiscard]] std::string barChart(const std::vector<Bar> &Bars);
/// A chart of lines over the seconds of a run.
[[nodiscard]] std::string lineChart(const std::vector<Line> &Lines);

/// A number in few digits.
[[nodiscard]] std::string shortNumber(double Value);
/// Text with the characters that HTML reserves replaced.
[[nodiscard]] std::string escaped(const std::string &Text);

} // namespace medlarmoor::bench

#endif // MEDLARMOOR_BENCH_REPORT_SVG_HPP
