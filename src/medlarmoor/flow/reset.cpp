#include <medlarmoor/flow/reset.hpp>

#include <arpa/inet.h>
#include <netinet/ip.h>
#include <netinet/tcp.h>

#include <cstring>

namespace medlarmoor::flow {

namespace {

constexpr std::uint8_t TimeToLive = 64;
constexpr std::size_t WordBytes = 4;

/// What the TCP checksum covers besides the segment.
struct PseudoHeader {
  std::uint32_t Source_;
  std::uint32_t Destination_;
  std::uint8_t Zero_;
  std::uint8_t Protocol_;
  std::uint16_t Length_;
};

std::uint32_t sum(const void *Data, std::size_t Size) noexcept {
  std::uint32_t Total = 0;
  for (std::size_t At = 0; At + 1 < Size; At += 2) {
    std::uint16_t Word = 0;
    std::memcpy(&Word, static_cast<const char *>(Data) + At, sizeof(Word));
    Total += Word;
  }
  return Total;
}

std::uint16_t fold(std::uint32_t Total) noexcept {
  Total = (Total & 0xFFFFU) + (Total >> 16U);
  Total = (Total & 0xFFFFU) + (Total >> 16U);
  return static_cast<std::uint16_t>(~Total);
}

} // namespace

std::array<std::byte, ResetBytes> resetFor(const Packet &First) noexcept {
  iphdr Ip{};
  Ip.version = IPVERSION;
  Ip.ihl = sizeof(Ip) / WordBytes;
  Ip.tot_len = htons(ResetBytes);
  Ip.ttl = TimeToLive;
  Ip.protocol = IPPROTO_TCP;
  Ip.saddr = htonl(First.Destination_.address().value());
  Ip.daddr = htonl(First.Source_.address().value());
  Ip.check = fold(sum(&Ip, sizeof(Ip)));
  tcphdr Tcp{};
  Tcp.source = htons(First.Destination_.port());
  Tcp.dest = htons(First.Source_.port());
  Tcp.ack_seq = htonl(First.Sequence_ + 1);
  Tcp.doff = sizeof(Tcp) / WordBytes;
  Tcp.rst = 1;
  Tcp.ack = 1;
  const PseudoHeader Pseudo{Ip.saddr, Ip.daddr, 0, IPPROTO_TCP,
                            htons(sizeof(Tcp))};
  Tcp.check = fold(sum(&Pseudo, sizeof(Pseudo)) + sum(&Tcp, sizeof(Tcp)));
  std::array<std::byte, ResetBytes> Out;
  std::memcpy(Out.data(), &Ip, sizeof(Ip));
  std::memcpy(Out.data() + sizeof(Ip), &Tcp, sizeof(Tcp));
  return Out;
}

} // namespace medlarmoor::flow
