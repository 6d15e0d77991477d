#ifndef MEDLARMOOR_WIRE_FAREWELL_HPP
#define MEDLARMOOR_WIRE_FAREWELL_HPP

#include <medlarmoor/core/ids.hpp>

namespace medlarmoor::wire {

/// The sender's last message: it has handed over and stops now.
struct Farewell {
  Incarnation Incarnation_;

  friend bool operator==(const Farewell &, const Farewell &) = default;
};

} // namespace medlarmoor::wire

#endif // MEDLARMOOR_WIRE_FAREWELL_HPP
