#ifndef MEDLARMOOR_EDGE_PACKET_CODEC_HPP
#define MEDLARMOOR_EDGE_PACKET_CODEC_HPP

#include <medlarmoor/affinity/packet.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

namespace medlarmoor::edge {

/// Reads and writes packets in their wire format. Holds plain function pointers
/// because each of them is called once per packet.
struct PacketCodec {
  /// Size of a reset packet.
  static constexpr std::size_t ResetBytes = 31;
  using Reset = std::array<std::byte, ResetBytes>;

  /// Reads the header. Returns no value if the bytes are not a valid packet.
  std::optional<affinity::Packet> (*Read_)(std::span<const std::byte> Bytes);
  /// Writes the tag into a packet's header in place.
  void (*WriteTag_)(std::span<std::byte> Bytes, affinity::Tag Tag);
  /// Writes the encapsulation header, which carries the upstream's identity,
  /// into the bytes in front of a packet.
  void (*WriteEncapsulation_)(std::span<std::byte> Headroom,
                              std::uint64_t Identity);
  /// Returns the reset that closes the flow of a client's packet.
  Reset (*MakeReset_)(const affinity::Packet &Packet);
};

} // namespace medlarmoor::edge

#endif // MEDLARMOOR_EDGE_PACKET_CODEC_HPP
