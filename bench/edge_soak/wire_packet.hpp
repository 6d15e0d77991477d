#ifndef MEDLARMOOR_BENCH_EDGE_SOAK_WIRE_PACKET_HPP
#define MEDLARMOOR_BENCH_EDGE_SOAK_WIRE_PACKET_HPP

#include <medlarmoor/core/endpoint.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace medlarmoor::bench::soak {

/// A packet of the platform's protocol as the two ends of a flow see it.
struct WirePacket {
  bool Syn_ = false;
  bool Ack_ = false;
  bool Fin_ = false;
  bool Rst_ = false;
  std::uint32_t Sequence_ = 0;
  std::uint32_t Acknowledged_ = 0;
  std::uint32_t Echo_ = 0;
  Endpoint Source_;
  Endpoint Destination_;
  std::string Data_;
  /// It came from an end of the flow and was not changed on its way. False for
  /// a reset of an edge instance.
  bool Genuine_ = true;
};

/// The datagram, with a checksum over all but the echo.
[[nodiscard]] std::vector<std::byte> encode(const WirePacket &Each);

/// Reads a datagram; nothing when it is no packet.
[[nodiscard]] std::optional<WirePacket>
decode(std::span<const std::byte> Datagram);

} // namespace medlarmoor::bench::soak

#endif // MEDLARMOOR_BENCH_EDGE_SOAK_WIRE_PACKET_HPP
