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
/// to keep the calls cheap, because each of them may be called once per packet.
struct PacketCodec {
  /// Size of a reset packet.
  static constexpr std::size_t ResetBytes = 31;
  using Reset = std::array<std::byte, ResetBytes>;

  /// Reads the header. Returns no value if the bytes are not a valid packet.
  std::optional<affinity::Packet> (*Read_)(std::span<const std::byte> Bytes);
  /// Writes the tag into a packet's header in place.
  void (*WriteTag_)(std::span<std::byte> Bytes, affinity::Tag Tag);
  /// Writes the encapsulation header into the first 8 bytes of Headroom. They
  /// are the free bytes in front of a packet (net::HeadroomBytes); Headroom
  /// must have at least this size. Identity is discovery::Upstream::Identity_,
  /// from which a later owner of the same address sees that the packet is not
  /// for it. The tag, in contrast, is how an instance finds a flow's upstream.
  void (*WriteEncapsulation_)(std::span<std::byte> Headroom,
                              std::uint64_t Identity);
  /// Returns the reset that rejects the flow that a client's SYN opens.
  Reset (*MakeReset_)(const affinity::Packet &Packet);
};

} // namespace medlarmoor::edge

#endif // MEDLARMOOR_EDGE_PACKET_CODEC_HPP
