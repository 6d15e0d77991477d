#include <medlarmoor/flow/packet.hpp>

#include <arpa/inet.h>
#include <netinet/ip.h>
#include <netinet/tcp.h>

#include <cstring>

namespace medlarmoor::flow {

namespace {

constexpr unsigned Ipv4Version = 4;
constexpr unsigned Ipv6Version = 6;
constexpr unsigned VersionShift = 4;
/// Header lengths count words of this many bytes.
constexpr std::size_t WordBytes = 4;

/// The IPv4 header's length in bytes, or why the header is not usable.
std::variant<std::size_t, DropReason> checkIp(std::span<const std::byte> Bytes,
                                              const iphdr &Ip) noexcept {
  const std::size_t HeaderBytes = Ip.ihl * WordBytes;
  const std::size_t TotalBytes = ntohs(Ip.tot_len);
  if (HeaderBytes < sizeof(iphdr) || TotalBytes < HeaderBytes)
    return DropReason::MalformedPacket;
  if (TotalBytes > Bytes.size())
    return DropReason::TruncatedPacket;
  if ((ntohs(Ip.frag_off) & (IP_MF | IP_OFFMASK)) != 0)
    return DropReason::Fragment;
  if (Ip.protocol != IPPROTO_TCP)
    return DropReason::NotTcp;
  if (TotalBytes < HeaderBytes + sizeof(tcphdr))
    return DropReason::TruncatedPacket;
  return HeaderBytes;
}

} // namespace

std::variant<Packet, DropReason>
parsePacket(std::span<const std::byte> Bytes) noexcept {
  if (Bytes.empty())
    return DropReason::TruncatedPacket;
  const unsigned Version = std::to_integer<unsigned>(Bytes[0]) >> VersionShift;
  if (Version == Ipv6Version)
    return DropReason::Ipv6;
  if (Version != Ipv4Version)
    return DropReason::MalformedPacket;
  if (Bytes.size() < sizeof(iphdr))
    return DropReason::TruncatedPacket;
  iphdr Ip;
  std::memcpy(&Ip, Bytes.data(), sizeof(Ip));
  const auto Checked = checkIp(Bytes, Ip);
  if (const DropReason *Reason = std::get_if<DropReason>(&Checked))
    return *Reason;
  const std::size_t HeaderBytes = *std::get_if<std::size_t>(&Checked);
  tcphdr Tcp;
  std::memcpy(&Tcp, Bytes.data() + HeaderBytes, sizeof(Tcp));
  const std::size_t TcpBytes = Tcp.doff * WordBytes;
  if (TcpBytes < sizeof(tcphdr) || (Tcp.syn && (Tcp.fin || Tcp.rst)))
    return DropReason::MalformedPacket;
  if (HeaderBytes + TcpBytes > ntohs(Ip.tot_len))
    return DropReason::TruncatedPacket;
  return Packet{{Ipv4(ntohl(Ip.saddr)), ntohs(Tcp.source)},
                {Ipv4(ntohl(Ip.daddr)), ntohs(Tcp.dest)},
                ntohl(Tcp.seq),
                Tcp.syn != 0,
                Tcp.ack != 0,
                Tcp.fin != 0,
                Tcp.rst != 0};
}

} // namespace medlarmoor::flow
