#include <medlarmoor/placement/ejector.hpp>

#include <algorithm>

namespace medlarmoor::placement {

namespace {

/// Number of doublings after which the maximum duration is reached in any case.
constexpr unsigned MaxDoublings = 10;
constexpr std::size_t PercentOfAll = 100;

} // namespace

Ejector::Ejector(EjectionLimits Limits) : Limits_(Limits) {}

Millis Ejector::handshakeTimedOut(affinity::Tag Upstream, TimePoint Now) {
  Record &Entry = Records_[Upstream];
  Entry.LastTimeoutAt_ = Now;
  if (++Entry.Timeouts_ < Limits_.FailureThreshold_ ||
      Now < Entry.EjectedUntil_)
    return Millis(0);
  const unsigned Doublings = std::min(Entry.Ejections_, MaxDoublings);
  const Millis Duration =
      std::min(Limits_.MaxDuration_, Limits_.BaseDuration_ * (1U << Doublings));
  Entry.EjectedUntil_ = Now + Duration;
  ++Entry.Ejections_;
  return Duration;
}

bool Ejector::handshakeCompleted(affinity::Tag Upstream) {
  const auto Found = Records_.find(Upstream);
  if (Found == Records_.end())
    return false;
  const bool WasEjected = Found->second.Ejections_ > 0;
  Records_.erase(Found);
  return WasEjected;
}

void Ejector::expire(TimePoint Now) {
  std::erase_if(Records_, [&](const auto &Item) {
    const Record &Entry = Item.second;
    return Now >= std::max(Entry.EjectedUntil_, Entry.LastTimeoutAt_) +
                      Limits_.RecordLifetime_;
  });
}

bool Ejector::ejected(affinity::Tag Upstream, TimePoint Now) const noexcept {
  const auto Found = Records_.find(Upstream);
  return Found != Records_.end() && Now < Found->second.EjectedUntil_;
}

std::size_t Ejector::maxEjected(std::size_t Candidates) const noexcept {
  return Candidates * Limits_.MaxEjectedPercent_ / PercentOfAll;
}

} // namespace medlarmoor::placement
