#ifndef MEDLARMOOR_FLOW_PREPARED_PACKET_HPP
#define MEDLARMOOR_FLOW_PREPARED_PACKET_HPP

#include <medlarmoor/flow/flow_id.hpp>
#include <medlarmoor/flow/packet.hpp>

#include <optional>

namespace medlarmoor::flow {

/// A parsed packet with the flow that it belongs to.
struct PreparedPacket {
  Packet Packet_;
  FlowId Id_;
  /// Why the packet cannot be forwarded; empty if it can.
  std::optional<DropReason> DropReason_;
};

} // namespace medlarmoor::flow

#endif // MEDLARMOOR_FLOW_PREPARED_PACKET_HPP
