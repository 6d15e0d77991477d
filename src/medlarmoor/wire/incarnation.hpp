#ifndef MEDLARMOOR_WIRE_INCARNATION_HPP
#define MEDLARMOOR_WIRE_INCARNATION_HPP

#include <medlarmoor/core/ids.hpp>
#include <medlarmoor/core/random.hpp>
#include <medlarmoor/core/time.hpp>

namespace medlarmoor::wire {

/// Draws the incarnation of a run that starts at Now: milliseconds above, 16
/// random bits below, so that a later run of the same name is higher.
[[nodiscard]] inline Incarnation drawIncarnation(WallTime Now, Random &Source) {
  constexpr unsigned RandomBits = 16;
  const auto Started =
      static_cast<std::uint64_t>(Now.time_since_epoch().count());
  return Incarnation((Started << RandomBits) | (Source() >> (64 - RandomBits)));
}

} // namespace medlarmoor::wire

#endif // MEDLARMOOR_WIRE_INCARNATION_HPP
