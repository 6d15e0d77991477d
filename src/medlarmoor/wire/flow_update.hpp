#ifndef MEDLARMOOR_WIRE_FLOW_UPDATE_HPP
#define MEDLARMOOR_WIRE_FLOW_UPDATE_HPP

#include <cstddef>
#include <vector>

namespace medlarmoor::wire {

/// A batch of records of the flow package: replicated overrides, flows that
/// are handed off, counts of open flows. The flow package encodes the bytes.
struct FlowUpdate {
  std::vector<std::byte> Bytes_;

  friend bool operator==(const FlowUpdate &, const FlowUpdate &) = default;
};

} // namespace medlarmoor::wire

#endif // MEDLARMOOR_WIRE_FLOW_UPDATE_HPP
