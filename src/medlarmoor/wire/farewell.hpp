#ifndef MEDLARMOOR_WIRE_FAREWELL_HPP
#define MEDLARMOOR_WIRE_FAREWELL_HPP

namespace medlarmoor::wire {

/// The sender's last message: it has handed over and stops now.
struct Farewell {
  friend bool operator==(const Farewell &, const Farewell &) = default;
};

} // namespace medlarmoor::wire

#endif // MEDLARMOOR_WIRE_FAREWELL_HPP
