#include <medlarmoor/placement/answer_size.hpp>

#include <algorithm>
#include <cmath>

namespace medlarmoor::placement {

namespace {

/// Answers from which on the median is trusted.
constexpr std::uint32_t EnoughAnswers = 50;
/// How far one answer moves the median and the deviation: far at first, as the
/// first guess is one answer, then a hundredth of the size.
constexpr double FirstStep = 2.0;
constexpr double LeastStep = 0.01;
/// After so many answers the step is the least one.
constexpr std::uint32_t SettledAnswers = 200;
/// An answer this many median deviations below the median is unusual; for a
/// normal distribution this is 1 in 40,000.
constexpr double UnusualDeviations = 6.0;
/// Answers of half the usual size may be the same content.
constexpr double LeastDistance = 0.7;

} // namespace

void AnswerSize::add(std::uint32_t Bytes) noexcept {
  const double Size = std::log(static_cast<double>(std::max(Bytes, 1U)));
  if (Samples_ == 0)
    Median_ = Size;
  Samples_ = std::min(Samples_ + 1, SettledAnswers);
  const double Step = std::max(LeastStep, FirstStep / Samples_);
  const double Distance = Size - Median_;
  Median_ += std::clamp(Distance, -Step, Step);
  Deviation_ += std::clamp(std::abs(Distance) - Deviation_, -Step, Step);
}

bool AnswerSize::unusuallyShort(std::uint32_t Bytes) const noexcept {
  if (Samples_ < EnoughAnswers)
    return false;
  const double Size = std::log(static_cast<double>(std::max(Bytes, 1U)));
  return Median_ - Size >
         std::max(LeastDistance, UnusualDeviations * Deviation_);
}

} // namespace medlarmoor::placement
