#ifndef MEDLARMOOR_WIRE_TABLE_REQUEST_HPP
#define MEDLARMOOR_WIRE_TABLE_REQUEST_HPP

namespace medlarmoor::wire {

/// Requests the complete member table of the receiver.
struct TableRequest {
  friend bool operator==(const TableRequest &, const TableRequest &) = default;
};

} // namespace medlarmoor::wire

#endif // MEDLARMOOR_WIRE_TABLE_REQUEST_HPP
