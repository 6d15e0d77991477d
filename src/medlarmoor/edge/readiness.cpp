#include <medlarmoor/edge/readiness.hpp>

namespace medlarmoor::edge {

namespace {

/// Time for routers to stop sending: they probe twice a second and stop after
/// two failed probes.
constexpr Millis RouterDetectionTime{1500};
/// After this time without packets, routers no longer send to this instance.
constexpr Millis QuietPeriod{1000};
/// Part of the grace time that is reserved for the exit itself.
constexpr Millis ExitReserve{1000};

} // namespace

Readiness::Readiness(Millis Grace) : Grace_(Grace) {}

void Readiness::stop(TimePoint Now) {
  if (!StoppedAt_)
    StoppedAt_ = Now;
}

bool Readiness::mayExit(TimePoint Now) const noexcept {
  if (!StoppedAt_)
    return false;
  const Nanos SinceStop = Now - *StoppedAt_;
  if (SinceStop >= Grace_ - ExitReserve)
    return true;
  return SinceStop >= RouterDetectionTime && Now - LastPacket_ >= QuietPeriod;
}

} // namespace medlarmoor::edge
