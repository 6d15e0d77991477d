#ifndef MEDLARMOOR_CORE_FINDINGS_HPP
#define MEDLARMOOR_CORE_FINDINGS_HPP

#include <medlarmoor/core/finding.hpp>

#include <vector>

namespace medlarmoor {

/// Collects findings so that all of them are reported together.
class Findings {
public:
  void add(Place Where, std::string Message, std::string Hint = {});

  [[nodiscard]] bool empty() const noexcept { return Items_.empty(); }
  [[nodiscard]] const std::vector<Finding> &items() const noexcept {
    return Items_;
  }
  /// The findings in the order of their places.
  [[nodiscard]] std::vector<Finding> sorted() const;
  /// One line a finding, sorted by place.
  [[nodiscard]] std::string text() const;

private:
  std::vector<Finding> Items_;
};

} // namespace medlarmoor

#endif // MEDLARMOOR_CORE_FINDINGS_HPP
