#include <harness/packet.hpp>

#include <netinet/in.h>
#include <netinet/ip.h>
#include <netinet/tcp.h>

#include <cstring>

namespace medlarmoor::harness {

namespace {

constexpr std::size_t GueBytes = 4;
constexpr std::size_t IpBytes = sizeof(iphdr);
constexpr std::size_t TcpBytes = sizeof(tcphdr);
constexpr std::size_t HeaderBytes = GueBytes + IpBytes + TcpBytes;
constexpr std::uint8_t GueIpv4 = 4;
constexpr std::uint8_t TimeToLive = 64;
constexpr std::uint16_t Window = 65535;

/// Sum of 16-bit words as RFC 1071 has it, before the complement.
std::uint32_t sumWords(const void *Data, std::size_t Size, std::uint32_t Sum) {
  const auto *Bytes = static_cast<const unsigned char *>(Data);
  for (std::size_t I = 0; I + 1 < Size; I += 2)
    Sum += (std::uint32_t{Bytes[I]} << 8U) | Bytes[I + 1];
  if (Size % 2 != 0)
    Sum += std::uint32_t{Bytes[Size - 1]} << 8U;
  return Sum;
}

std::uint16_t fold(std::uint32_t Sum) {
  while ((Sum >> 16U) != 0)
    Sum = (Sum & 0xFFFFU) + (Sum >> 16U);
  return htons(static_cast<std::uint16_t>(~Sum));
}

std::uint16_t tcpChecksum(const iphdr &Ip, const void *Segment,
                          std::size_t Size) {
  std::uint32_t Sum = sumWords(&Ip.saddr, 2 * sizeof(Ip.saddr), 0);
  Sum += IPPROTO_TCP + static_cast<std::uint32_t>(Size);
  return fold(sumWords(Segment, Size, Sum));
}

} // namespace

std::string Packet::encode() const {
  iphdr Ip{};
  Ip.version = 4;
  Ip.ihl = IpBytes / 4;
  Ip.ttl = TimeToLive;
  Ip.protocol = IPPROTO_TCP;
  Ip.tot_len =
      htons(static_cast<std::uint16_t>(IpBytes + TcpBytes + Payload_.size()));
  Ip.saddr = htonl(From_.address().value());
  Ip.daddr = htonl(To_.address().value());
  Ip.check = fold(sumWords(&Ip, IpBytes, 0));

  tcphdr Tcp{};
  Tcp.th_sport = htons(From_.port());
  Tcp.th_dport = htons(To_.port());
  Tcp.th_seq = htonl(Seq_);
  Tcp.th_ack = htonl(Ack_);
  Tcp.th_off = TcpBytes / 4;
  Tcp.th_flags = Flags_;
  Tcp.th_win = htons(Window);

  std::string Segment(reinterpret_cast<const char *>(&Tcp), TcpBytes);
  Segment += Payload_;
  Tcp.th_sum = tcpChecksum(Ip, Segment.data(), Segment.size());
  std::memcpy(Segment.data(), &Tcp, TcpBytes);

  std::string Out{'\0', static_cast<char>(GueIpv4), '\0', '\0'};
  Out.append(reinterpret_cast<const char *>(&Ip), IpBytes);
  return Out + Segment;
}

std::optional<Packet> Packet::decode(std::span<const std::byte> Datagram) {
  if (Datagram.size() < HeaderBytes || Datagram[0] != std::byte{0} ||
      Datagram[1] != std::byte{GueIpv4})
    return std::nullopt;
  iphdr Ip;
  tcphdr Tcp;
  const std::span<const std::byte> Inner = Datagram.subspan(GueBytes);
  std::memcpy(&Ip, Inner.data(), IpBytes);
  std::memcpy(&Tcp, Inner.data() + IpBytes, TcpBytes);
  const bool Plain = Ip.version == 4 && Ip.ihl == IpBytes / 4 &&
                     Ip.protocol == IPPROTO_TCP && Tcp.th_off == TcpBytes / 4;
  if (!Plain || ntohs(Ip.tot_len) != Inner.size() ||
      fold(sumWords(&Ip, IpBytes, 0)) != 0)
    return std::nullopt;
  const std::span<const std::byte> Segment = Inner.subspan(IpBytes);
  if (tcpChecksum(Ip, Segment.data(), Segment.size()) != 0)
    return std::nullopt;
  const std::span<const std::byte> Payload = Segment.subspan(TcpBytes);
  return Packet{{Ipv4(ntohl(Ip.saddr)), ntohs(Tcp.th_sport)},
                {Ipv4(ntohl(Ip.daddr)), ntohs(Tcp.th_dport)},
                Tcp.th_flags,
                ntohl(Tcp.th_seq),
                ntohl(Tcp.th_ack),
                std::string(reinterpret_cast<const char *>(Payload.data()),
                            Payload.size())};
}

} // namespace medlarmoor::harness
