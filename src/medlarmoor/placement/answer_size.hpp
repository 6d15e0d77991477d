#ifndef MEDLARMOOR_PLACEMENT_ANSWER_SIZE_HPP
#define MEDLARMOOR_PLACEMENT_ANSWER_SIZE_HPP

#include <cstdint>

namespace medlarmoor::placement {

/// The usual size of a route's answers: running median and median deviation on
/// a logarithmic scale, which a minority of failures hardly moves.
class AnswerSize {
public:
  /// An answer of Bytes was received; at least 1.
  void add(std::uint32_t Bytes) noexcept;
  /// True when an answer of Bytes is far below the usual. False while too few
  /// answers are known.
  [[nodiscard]] bool unusuallyShort(std::uint32_t Bytes) const noexcept;

private:
  /// Natural logarithm of bytes.
  double Median_ = 0;
  double Deviation_ = 0;
  /// Answers added, up to the number that judging takes.
  std::uint32_t Samples_ = 0;
};

} // namespace medlarmoor::placement

#endif // MEDLARMOOR_PLACEMENT_ANSWER_SIZE_HPP
