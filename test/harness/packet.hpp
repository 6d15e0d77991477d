#ifndef MEDLARMOOR_HARNESS_PACKET_HPP
#define MEDLARMOOR_HARNESS_PACKET_HPP

#include <medlarmoor/core/endpoint.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>

namespace medlarmoor::harness {

/// Bits of the flags byte of a TCP header.
enum TcpFlag : std::uint8_t {
  TcpFin = 0x01,
  TcpSyn = 0x02,
  TcpRst = 0x04,
  TcpPsh = 0x08,
  TcpAck = 0x10,
};

/// One TCP segment of a flow as the stand-ins send it: IPv4 and TCP headers
/// without options, behind the 4-byte header of the encapsulation. Written
/// apart from the product's own codec, so that each checks the other.
struct Packet {
  Endpoint From_;
  Endpoint To_;
  std::uint8_t Flags_ = 0;
  std::uint32_t Seq_ = 0;
  std::uint32_t Ack_ = 0;
  std::string Payload_;

  [[nodiscard]] bool has(TcpFlag Flag) const noexcept {
    return (Flags_ & Flag) != 0;
  }

  /// The datagram with both checksums set.
  [[nodiscard]] std::string encode() const;
  /// Reads a datagram; nothing unless it is whole and both checksums hold.
  [[nodiscard]] static std::optional<Packet>
  decode(std::span<const std::byte> Datagram);
};

} // namespace medlarmoor::harness

#endif // MEDLARMOOR_HARNESS_PACKET_HPP
