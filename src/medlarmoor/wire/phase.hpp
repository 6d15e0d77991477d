#ifndef MEDLARMOOR_WIRE_PHASE_HPP
#define MEDLARMOOR_WIRE_PHASE_HPP

#include <cstdint>

namespace medlarmoor::wire {

/// What a member tells others about itself, or others tell about it.
enum class Phase : std::uint8_t {
  /// It learns the members and homes nothing yet.
  Joining,
  /// It homes flows and requests.
  Live,
  /// It hands over and is about to stop.
  Leaving,
  /// A member that watches it has not heard from it for a lease.
  Suspected,
  /// It said farewell, or nobody refuted the suspicion.
  Gone,
};

/// The highest value that a decoder accepts.
inline constexpr Phase LastPhase = Phase::Gone;

} // namespace medlarmoor::wire

#endif // MEDLARMOOR_WIRE_PHASE_HPP
