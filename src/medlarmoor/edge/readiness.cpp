#include <medlarmoor/edge/readiness.hpp>

namespace medlarmoor::edge {

namespace {

/// Routers probe twice a second and turn away after two misses.
constexpr Millis RouterDelay{1500};
/// Without packets for this long, routers have turned away.
constexpr Millis Quiet{1000};
/// Left of the grace for the exit itself.
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
  const Nanos Stopping = Now - *StoppedAt_;
  if (Stopping >= Grace_ - ExitReserve)
    return true;
  return Stopping >= RouterDelay && Now - LastPacket_ >= Quiet;
}

} // namespace medlarmoor::edge
