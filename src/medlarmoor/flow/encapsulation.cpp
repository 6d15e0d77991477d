#include <medlarmoor/flow/encapsulation.hpp>

#include <netinet/in.h>

namespace medlarmoor::flow {

namespace {

/// The first byte of a GUE header: two bits of version, the control bit, and
/// five bits of header length (hlen), which counts 4-byte words after the
/// first.
constexpr std::byte PlainFirstByte{0};
constexpr std::byte PeerFirstByte{1};
constexpr std::byte Ipv4Protocol{IPPROTO_IPIP};
/// The flag for private data, in the low byte of the flags.
constexpr std::byte PrivateFlag{1};
constexpr std::size_t IntentOffset = 6;
constexpr std::size_t HopsOffset = 7;

} // namespace

std::variant<std::span<std::byte>, DropReason>
decapsulate(std::span<std::byte> Datagram) noexcept {
  if (Datagram.size() < GueBytes)
    return DropReason::TruncatedEncapsulation;
  const bool Supported =
      Datagram[0] == PlainFirstByte && Datagram[1] == Ipv4Protocol &&
      Datagram[2] == std::byte{0} && Datagram[3] == std::byte{0};
  if (!Supported)
    return DropReason::UnknownEncapsulation;
  return Datagram.subspan(GueBytes);
}

std::variant<PeerPacket, DropReason>
decapsulatePeer(std::span<std::byte> Datagram) noexcept {
  if (Datagram.size() < PeerGueBytes)
    return DropReason::TruncatedEncapsulation;
  const auto Intent = std::to_integer<unsigned char>(Datagram[IntentOffset]);
  const bool Supported =
      Datagram[0] == PeerFirstByte && Datagram[1] == Ipv4Protocol &&
      Datagram[2] == std::byte{0} && Datagram[3] == PrivateFlag &&
      Intent <= static_cast<unsigned char>(PeerIntent::ToContender);
  if (!Supported)
    return DropReason::UnknownEncapsulation;
  const auto Hops = std::to_integer<std::uint8_t>(Datagram[HopsOffset]);
  return PeerPacket{{Hops, static_cast<PeerIntent>(Intent)},
                    Datagram.subspan(PeerGueBytes)};
}

std::array<std::byte, GueBytes> gueHeader() noexcept {
  return {PlainFirstByte, Ipv4Protocol, std::byte{0}, std::byte{0}};
}

std::array<std::byte, PeerGueBytes>
peerGueHeader(const PeerHeader &Header) noexcept {
  return {PeerFirstByte,
          Ipv4Protocol,
          std::byte{0},
          PrivateFlag,
          std::byte{0},
          std::byte{0},
          static_cast<std::byte>(Header.Intent_),
          std::byte{Header.Hops_}};
}

} // namespace medlarmoor::flow
