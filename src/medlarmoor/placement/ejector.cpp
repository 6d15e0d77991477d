#include <medlarmoor/placement/ejector.hpp>

#include <algorithm>

namespace medlarmoor::placement {

namespace {

/// Doublings after which the longest ejection is reached in any case.
constexpr unsigned MostDoublings = 10;
constexpr std::size_t WholePercent = 100;

} // namespace

Ejector::Ejector(EjectionLimits Limits) : Limits_(Limits) {}

Millis Ejector::handshakeTimedOut(affinity::Tag Upstream, TimePoint Now) {
  Record &Each = Records_[Upstream];
  Each.FailedAt_ = Now;
  if (++Each.Failures_ < Limits_.FailureThreshold_ || Now < Each.Until_)
    return Millis(0);
  const unsigned Doublings = std::min(Each.Repeats_, MostDoublings);
  const Millis Length =
      std::min(Limits_.MaxDuration_, Limits_.BaseDuration_ * (1U << Doublings));
  Each.Until_ = Now + Length;
  ++Each.Repeats_;
  return Length;
}

bool Ejector::handshakeCompleted(affinity::Tag Upstream) {
  const auto Found = Records_.find(Upstream);
  if (Found == Records_.end())
    return false;
  const bool Ejected = Found->second.Repeats_ > 0;
  Records_.erase(Found);
  return Ejected;
}

void Ejector::expire(TimePoint Now) {
  std::erase_if(Records_, [&](const auto &Each) {
    const Record &Old = Each.second;
    return Now >= std::max(Old.Until_, Old.FailedAt_) + Limits_.RecordLifetime_;
  });
}

bool Ejector::ejected(affinity::Tag Upstream, TimePoint Now) const noexcept {
  const auto Found = Records_.find(Upstream);
  return Found != Records_.end() && Now < Found->second.Until_;
}

std::size_t Ejector::maxEjected(std::size_t Candidates) const noexcept {
  return Candidates * Limits_.MaxEjectedPercent_ / WholePercent;
}

} // namespace medlarmoor::placement
