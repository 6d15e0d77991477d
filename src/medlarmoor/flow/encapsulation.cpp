#include <medlarmoor/flow/encapsulation.hpp>

#include <netinet/in.h>

namespace medlarmoor::flow {

namespace {

/// First byte: two bits of version, the control bit, five bits of hlen.
constexpr std::byte PlainFirst{0};
constexpr std::byte PeerFirst{1};
constexpr std::byte Ipv4InGue{IPPROTO_IPIP};
/// The private flag in the low byte of the flags.
constexpr std::byte PrivateFlag{1};
constexpr std::size_t IntentByte = 6;
constexpr std::size_t HopsByte = 7;

} // namespace

std::variant<std::span<std::byte>, DropReason>
decapsulate(std::span<std::byte> Datagram) noexcept {
  if (Datagram.size() < GueBytes)
    return DropReason::TruncatedEncapsulation;
  const bool Known = Datagram[0] == PlainFirst && Datagram[1] == Ipv4InGue &&
                     Datagram[2] == std::byte{0} && Datagram[3] == std::byte{0};
  if (!Known)
    return DropReason::UnknownEncapsulation;
  return Datagram.subspan(GueBytes);
}

std::variant<PeerPacket, DropReason>
decapsulatePeer(std::span<std::byte> Datagram) noexcept {
  if (Datagram.size() < PeerGueBytes)
    return DropReason::TruncatedEncapsulation;
  const auto Intent = std::to_integer<unsigned char>(Datagram[IntentByte]);
  const bool Known =
      Datagram[0] == PeerFirst && Datagram[1] == Ipv4InGue &&
      Datagram[2] == std::byte{0} && Datagram[3] == PrivateFlag &&
      Intent <= static_cast<unsigned char>(PeerIntent::ToContender);
  if (!Known)
    return DropReason::UnknownEncapsulation;
  const auto Hops = std::to_integer<std::uint8_t>(Datagram[HopsByte]);
  return PeerPacket{{Hops, static_cast<PeerIntent>(Intent)},
                    Datagram.subspan(PeerGueBytes)};
}

std::array<std::byte, GueBytes> gueHeader() noexcept {
  return {PlainFirst, Ipv4InGue, std::byte{0}, std::byte{0}};
}

std::array<std::byte, PeerGueBytes>
peerGueHeader(const PeerHeader &Header) noexcept {
  return {PeerFirst,
          Ipv4InGue,
          std::byte{0},
          PrivateFlag,
          std::byte{0},
          std::byte{0},
          static_cast<std::byte>(Header.Intent_),
          std::byte{Header.Hops_}};
}

} // namespace medlarmoor::flow
