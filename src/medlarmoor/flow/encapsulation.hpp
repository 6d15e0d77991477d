#ifndef MEDLARMOOR_FLOW_ENCAPSULATION_HPP
#define MEDLARMOOR_FLOW_ENCAPSULATION_HPP

#include <medlarmoor/flow/drop_reason.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>
#include <variant>

namespace medlarmoor::flow {

/// Bytes of the GUE header in front of an IPv4 packet.
inline constexpr std::size_t GueBytes = 4;
/// Bytes of the GUE header between entries, with its one private word.
inline constexpr std::size_t PeerGueBytes = 8;
/// A packet is passed on between entries at most this often: to its home, from
/// there to the home before, and further while several changes overlap.
inline constexpr std::uint8_t MaxHops = 6;

/// Why an entry passes a packet to another.
enum class PeerIntent : unsigned char {
  /// The sender holds the receiver for the home of the flow.
  ToHome = 0,
  /// The sender is home by its view, but the receiver has not handed over yet.
  ToPrevious = 1,
  /// The sender has handed the flow's home over to the receiver.
  HandedOff = 2,
  /// The receiver would be home by the sender's view, but the sender has not
  /// handed over to it; the flow's former home, which has left, may have.
  ToContender = 3,
};

/// The private word of the GUE header between entries.
struct PeerHeader {
  /// How often the packet has been passed on, this time included.
  std::uint8_t Hops_ = 0;
  PeerIntent Intent_ = PeerIntent::ToHome;

  friend bool operator==(const PeerHeader &, const PeerHeader &) = default;
};

/// The inner packet of a datagram from the fabric, or why there is none.
[[nodiscard]] std::variant<std::span<std::byte>, DropReason>
decapsulate(std::span<std::byte> Datagram) noexcept;

/// The inner packet of a datagram from another entry, with its private word.
struct PeerPacket {
  PeerHeader Header_;
  std::span<std::byte> Inner_;
};

/// The inner packet of a datagram from another entry, or why there is none.
[[nodiscard]] std::variant<PeerPacket, DropReason>
decapsulatePeer(std::span<std::byte> Datagram) noexcept;

/// The header of a datagram to an upstream or to a caller.
[[nodiscard]] std::array<std::byte, GueBytes> gueHeader() noexcept;
/// The header of a datagram to another entry.
[[nodiscard]] std::array<std::byte, PeerGueBytes>
peerGueHeader(const PeerHeader &Header) noexcept;

} // namespace medlarmoor::flow

#endif // MEDLARMOOR_FLOW_ENCAPSULATION_HPP
