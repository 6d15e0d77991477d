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
/// Unit of the length fields in IPv4 and TCP headers.
constexpr std::size_t WordBytes = 4;

/// Returns why a packet of Size received bytes with this IPv4 header cannot be
/// forwarded, or nothing if it can.
std::optional<DropReason> checkIpv4(std::size_t Size,
                                    const iphdr &Ip) noexcept {
  const std::size_t HeaderBytes = Ip.ihl * WordBytes;
  const std::size_t TotalBytes = ntohs(Ip.tot_len);
  if (HeaderBytes < sizeof(iphdr) || TotalBytes < HeaderBytes)
    return DropReason::MalformedPacket;
  if (TotalBytes > Size)
    return DropReason::TruncatedPacket;
  if ((ntohs(Ip.frag_off) & (IP_MF | IP_OFFMASK)) != 0)
    return DropReason::Fragment;
  if (Ip.protocol != IPPROTO_TCP)
    return DropReason::NotTcp;
  if (TotalBytes < HeaderBytes + sizeof(tcphdr))
    return DropReason::TruncatedPacket;
  return std::nullopt;
}

} // namespace

std::optional<DropReason> parsePacket(std::span<const std::byte> Bytes,
                                      Packet &Parsed) noexcept {
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
  if (const std::optional<DropReason> Reason = checkIpv4(Bytes.size(), Ip))
    return Reason;
  const std::size_t HeaderBytes = Ip.ihl * WordBytes;
  tcphdr Tcp;
  std::memcpy(&Tcp, Bytes.data() + HeaderBytes, sizeof(Tcp));
  const std::size_t TcpBytes = Tcp.doff * WordBytes;
  if (TcpBytes < sizeof(tcphdr) || (Tcp.syn && (Tcp.fin || Tcp.rst)))
    return DropReason::MalformedPacket;
  if (HeaderBytes + TcpBytes > ntohs(Ip.tot_len))
    return DropReason::TruncatedPacket;
  Parsed.Source_ = {Ipv4(ntohl(Ip.saddr)), ntohs(Tcp.source)};
  Parsed.Destination_ = {Ipv4(ntohl(Ip.daddr)), ntohs(Tcp.dest)};
  Parsed.Sequence_ = ntohl(Tcp.seq);
  Parsed.Syn_ = Tcp.syn != 0;
  Parsed.Ack_ = Tcp.ack != 0;
  Parsed.Fin_ = Tcp.fin != 0;
  Parsed.Rst_ = Tcp.rst != 0;
  return std::nullopt;
}

} // namespace medlarmoor::flow
