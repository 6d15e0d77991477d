#ifndef MEDLARMOOR_EDGE_PACKET_CODEC_HPP
#define MEDLARMOOR_EDGE_PACKET_CODEC_HPP

#include <medlarmoor/affinity/packet.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

namespace medlarmoor::edge {

/// How packets look on the wire. Plain functions: they are called for each
/// packet.
struct PacketCodec {
  /// Bytes of a reset.
  static constexpr std::size_t ResetBytes = 31;
  using Reset = std::array<std::byte, ResetBytes>;

  /// Reads the header; nothing when the bytes are no packet.
  std::optional<affinity::Packet> (*Read_)(std::span<const std::byte> Bytes);
  /// Writes the tag into a packet's header.
  void (*WriteTag_)(std::span<std::byte> Bytes, affinity::Tag Tag);
  /// Writes the encapsulation that names the upstream into the bytes before a
  /// packet.
  void (*WriteEncapsulation_)(std::span<std::byte> Before,
                              std::uint64_t Identity);
  /// The reset that ends the flow of a client's packet.
  Reset (*MakeReset_)(const affinity::Packet &Of);
};

} // namespace medlarmoor::edge

#endif // MEDLARMOOR_EDGE_PACKET_CODEC_HPP
