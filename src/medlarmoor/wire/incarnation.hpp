#ifndef MEDLARMOOR_WIRE_INCARNATION_HPP
#define MEDLARMOOR_WIRE_INCARNATION_HPP

#include <medlarmoor/core/ids.hpp>
#include <medlarmoor/core/random.hpp>
#include <medlarmoor/core/time.hpp>

namespace medlarmoor::wire {

/// Returns the incarnation of a process run that starts at Now. The upper bits
/// hold the time in milliseconds and the lower 16 bits are random, so that a
/// later run under the same name has a higher incarnation.
[[nodiscard]] inline Incarnation drawIncarnation(WallTime Now, Random &Source) {
  constexpr unsigned RandomBits = 16;
  const auto StartedMs =
      static_cast<std::uint64_t>(Now.time_since_epoch().count());
  return Incarnation((StartedMs << RandomBits) |
                     (Source() >> (64 - RandomBits)));
}

} // namespace medlarmoor::wire

#endif // MEDLARMOOR_WIRE_INCARNATION_HPP
