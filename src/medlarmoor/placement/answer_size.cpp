#include <medlarmoor/placement/answer_size.hpp>

#include <algorithm>
#include <cmath>

namespace medlarmoor::placement {

namespace {

/// Number of answers required before the median is trusted.
constexpr std::uint32_t MinAnswers = 50;
/// Limits of how far one answer moves the median and the deviation, on the
/// logarithmic scale. The step is InitialStep divided by the number of answers:
/// large at first, because the initial estimate is a single answer, and at
/// least MinStep, a hundredth of the size.
constexpr double InitialStep = 2.0;
constexpr double MinStep = 0.01;
/// Number of answers after which the step has reached MinStep.
constexpr std::uint32_t MaxCountedAnswers = 200;
/// An answer this many median deviations below the median is unusually short.
/// In a normal distribution, 1 in 40,000 values lies that far below.
constexpr double ShortDeviations = 6.0;
/// Minimum distance of an unusually short answer from the median, on the
/// logarithmic scale: an answer of half the usual size may hold the same
/// content.
constexpr double MinShortDistance = 0.7;

} // namespace

void AnswerSize::add(std::uint32_t Bytes) noexcept {
  const double Size = std::log(static_cast<double>(std::max(Bytes, 1U)));
  if (Samples_ == 0)
    Median_ = Size;
  Samples_ = std::min(Samples_ + 1, MaxCountedAnswers);
  const double Step = std::max(MinStep, InitialStep / Samples_);
  const double Distance = Size - Median_;
  Median_ += std::clamp(Distance, -Step, Step);
  Deviation_ += std::clamp(std::abs(Distance) - Deviation_, -Step, Step);
}

bool AnswerSize::unusuallyShort(std::uint32_t Bytes) const noexcept {
  if (Samples_ < MinAnswers)
    return false;
  const double Size = std::log(static_cast<double>(std::max(Bytes, 1U)));
  return Median_ - Size >
         std::max(MinShortDistance, ShortDeviations * Deviation_);
}

} // namespace medlarmoor::placement
