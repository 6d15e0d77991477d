#ifndef MEDLARMOOR_WIRE_TABLE_REQUEST_HPP
#define MEDLARMOOR_WIRE_TABLE_REQUEST_HPP

namespace medlarmoor::wire {

/// Asks the receiver for its whole table of members.
struct TableRequest {
  friend bool operator==(const TableRequest &, const TableRequest &) = default;
};

} // namespace medlarmoor::wire

#endif // MEDLARMOOR_WIRE_TABLE_REQUEST_HPP
