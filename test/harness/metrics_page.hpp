#ifndef MEDLARMOOR_HARNESS_METRICS_PAGE_HPP
#define MEDLARMOOR_HARNESS_METRICS_PAGE_HPP

#include <set>
#include <string>

namespace medlarmoor::harness {

using Names = std::set<std::string>;

/// The first group of every match of the regular expression Pattern in Text.
[[nodiscard]] Names matches(const std::string &Text, const char *Pattern);

/// The names that a section of docs/metrics.md lists: Metrics, Events or
/// Spans. Empty when there is no such section.
[[nodiscard]] Names listedNames(const std::string &Section);

/// All C++ sources of the library and of the programs, as one text.
[[nodiscard]] std::string sourceText();

} // namespace medlarmoor::harness

#endif // MEDLARMOOR_HARNESS_METRICS_PAGE_HPP
