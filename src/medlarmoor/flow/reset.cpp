#include <medlarmoor/flow/reset.hpp>

#include <arpa/inet.h>
#include <netinet/ip.h>
#include <netinet/tcp.h>

#include <cstring>

namespace medlarmoor::flow {

namespace {

constexpr std::uint8_t TimeToLive = 64;
/// Unit of the length fields in IPv4 and TCP headers.
constexpr std::size_t WordBytes = 4;

/// The IPv4 pseudo-header, which the TCP checksum covers besides the segment.
struct PseudoHeader {
  std::uint32_t Source_;
  std::uint32_t Destination_;
  std::uint8_t Zero_;
  std::uint8_t Protocol_;
  std::uint16_t Length_;
};

/// Returns the sum of the 16-bit words of Data, for the Internet checksum. Size
/// is even.
std::uint32_t sumWords(const void *Data, std::size_t Size) noexcept {
  std::uint32_t Total = 0;
  for (std::size_t Offset = 0; Offset + 1 < Size; Offset += 2) {
    std::uint16_t Word = 0;
    std::memcpy(&Word, static_cast<const char *>(Data) + Offset, sizeof(Word));
    Total += Word;
  }
  return Total;
}

/// Folds the carries of a sum of 16-bit words and returns its complement, the
/// Internet checksum.
std::uint16_t internetChecksum(std::uint32_t Total) noexcept {
  Total = (Total & 0xFFFFU) + (Total >> 16U);
  Total = (Total & 0xFFFFU) + (Total >> 16U);
  return static_cast<std::uint16_t>(~Total);
}

} // namespace

std::array<std::byte, ResetBytes>
buildReset(const Packet &FirstPacket) noexcept {
  iphdr Ip{};
  Ip.version = IPVERSION;
  Ip.ihl = sizeof(Ip) / WordBytes;
  Ip.tot_len = htons(ResetBytes);
  Ip.ttl = TimeToLive;
  Ip.protocol = IPPROTO_TCP;
  Ip.saddr = htonl(FirstPacket.Destination_.address().value());
  Ip.daddr = htonl(FirstPacket.Source_.address().value());
  Ip.check = internetChecksum(sumWords(&Ip, sizeof(Ip)));
  tcphdr Tcp{};
  Tcp.source = htons(FirstPacket.Destination_.port());
  Tcp.dest = htons(FirstPacket.Source_.port());
  Tcp.ack_seq = htonl(FirstPacket.Sequence_ + 1);
  Tcp.doff = sizeof(Tcp) / WordBytes;
  Tcp.rst = 1;
  Tcp.ack = 1;
  const PseudoHeader Pseudo{Ip.saddr, Ip.daddr, 0, IPPROTO_TCP,
                            htons(sizeof(Tcp))};
  Tcp.check = internetChecksum(sumWords(&Pseudo, sizeof(Pseudo)) +
                               sumWords(&Tcp, sizeof(Tcp)));
  std::array<std::byte, ResetBytes> ResetPacket;
  std::memcpy(ResetPacket.data(), &Ip, sizeof(Ip));
  std::memcpy(ResetPacket.data() + sizeof(Ip), &Tcp, sizeof(Tcp));
  return ResetPacket;
}

} // namespace medlarmoor::flow
