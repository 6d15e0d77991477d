#ifndef MEDLARMOOR_PLACEMENT_ANSWER_SIZE_HPP
#define MEDLARMOOR_PLACEMENT_ANSWER_SIZE_HPP

#include <cstdint>

namespace medlarmoor::placement {

/// Estimates the usual size of a route's answers as a running median and median
/// deviation on a logarithmic scale. A minority of failures hardly moves them.
class AnswerSize {
public:
  /// Records the size of a received answer. Sizes below 1 count as 1 byte.
  void add(std::uint32_t Bytes) noexcept;
  /// Returns true if an answer of Bytes is far smaller than usual; always false
  /// while too few answers have been recorded.
  [[nodiscard]] bool unusuallyShort(std::uint32_t Bytes) const noexcept;

private:
  /// Median of the natural logarithm of the size in bytes.
  double Median_ = 0;
  double Deviation_ = 0;
  /// Number of recorded answers, counted until the step has reached its
  /// minimum.
  std::uint32_t Samples_ = 0;
};

} // namespace medlarmoor::placement

#endif // MEDLARMOOR_PLACEMENT_ANSWER_SIZE_HPP
