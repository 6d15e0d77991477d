#ifndef MEDLARMOOR_WIRE_PHASE_HPP
#define MEDLARMOOR_WIRE_PHASE_HPP

#include <cstdint>

namespace medlarmoor::wire {

/// The phase of a member as the member itself or another entry reports it. The
/// numbers are sent on the wire.
enum class Phase : std::uint8_t {
  /// The member learns the other members and is not a home yet.
  Joining,
  /// The member is a home for flows and requests.
  Live,
  /// The member hands off its flows and requests and is about to stop.
  Leaving,
  /// A watching entry has not heard from the member for half a lease.
  Suspected,
  /// The member sent a leave notice, or the suspicion was not refuted in time.
  Gone,
};

/// The highest value that the decoder accepts.
inline constexpr Phase LastPhase = Phase::Gone;

} // namespace medlarmoor::wire

#endif // MEDLARMOOR_WIRE_PHASE_HPP
