#ifndef MEDLARMOOR_FLOW_ENCAPSULATION_HPP
#define MEDLARMOOR_FLOW_ENCAPSULATION_HPP

#include <medlarmoor/flow/drop_reason.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>
#include <variant>

namespace medlarmoor::flow {

/// Size of the GUE header in front of an IPv4 packet.
inline constexpr std::size_t GueBytes = 4;
/// Size of the GUE header between entries, including 4 bytes of private data.
inline constexpr std::size_t PeerGueBytes = 8;
/// Maximum number of times that a packet is forwarded between entries: to its
/// home (the entry that decides about the flow), from there to the previous
/// home, and further while several changes of the view (the members that an
/// entry knows) overlap.
inline constexpr std::uint8_t MaxHops = 6;

/// Why an entry forwards a packet to another. The values are part of the wire
/// format.
enum class PeerIntent : unsigned char {
  /// The sender considers the receiver the home of the flow.
  ToHome = 0,
  /// The sender is the home in its view, but the receiver, a previous home, has
  /// not handed off the flow to it yet.
  ToPrevious = 1,
  /// The sender has handed off the flow to the receiver.
  HandedOff = 2,
  /// The receiver is the home in the sender's view, but the sender has not
  /// handed off its flows to it. The flow's former home, which has left, may
  /// have handed off the flow to the receiver.
  ToContender = 3,
};

/// The private data of the GUE header between entries.
struct PeerHeader {
  /// Number of times that the packet has been forwarded between entries,
  /// including this one.
  std::uint8_t Hops_ = 0;
  PeerIntent Intent_ = PeerIntent::ToHome;

  friend bool operator==(const PeerHeader &, const PeerHeader &) = default;
};

/// Returns the inner packet of a datagram from the fabric, or why the datagram
/// is dropped.
[[nodiscard]] std::variant<std::span<std::byte>, DropReason>
decapsulate(std::span<std::byte> Datagram) noexcept;

/// A packet that another entry forwarded.
struct PeerPacket {
  PeerHeader Header_;
  /// The inner packet.
  std::span<std::byte> Inner_;
};

/// Returns the header and the inner packet of a datagram from another entry,
/// or why the datagram is dropped.
[[nodiscard]] std::variant<PeerPacket, DropReason>
decapsulatePeer(std::span<std::byte> Datagram) noexcept;

/// Returns the GUE header of a datagram to an upstream or to a caller.
[[nodiscard]] std::array<std::byte, GueBytes> gueHeader() noexcept;
/// Returns the GUE header of a datagram to another entry.
[[nodiscard]] std::array<std::byte, PeerGueBytes>
peerGueHeader(const PeerHeader &Header) noexcept;

} // namespace medlarmoor::flow

#endif // MEDLARMOOR_FLOW_ENCAPSULATION_HPP
