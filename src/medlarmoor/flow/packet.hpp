#ifndef MEDLARMOOR_FLOW_PACKET_HPP
#define MEDLARMOOR_FLOW_PACKET_HPP

#include <medlarmoor/core/endpoint.hpp>
#include <medlarmoor/flow/drop_reason.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

namespace medlarmoor::flow {

/// What the flow door needs to know of an inner IPv4 packet that carries TCP.
struct Packet {
  Endpoint Source_;
  Endpoint Destination_;
  std::uint32_t Sequence_ = 0;
  bool Syn_ = false;
  bool Ack_ = false;
  bool Fin_ = false;
  bool Rst_ = false;

  /// True for the packet that opens a flow.
  [[nodiscard]] bool opensFlow() const noexcept { return Syn_ && !Ack_; }
};

/// Reads the headers of an inner packet into Out, or tells why the packet
/// cannot be forwarded.
[[nodiscard]] std::optional<DropReason>
parsePacket(std::span<const std::byte> Bytes, Packet &Out) noexcept;

} // namespace medlarmoor::flow

#endif // MEDLARMOOR_FLOW_PACKET_HPP
