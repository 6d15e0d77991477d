#ifndef MEDLARMOOR_HARNESS_PACKET_BUILDER_HPP
#define MEDLARMOOR_HARNESS_PACKET_BUILDER_HPP

#include <medlarmoor/core/endpoint.hpp>

#include <arpa/inet.h>
#include <netinet/ip.h>
#include <netinet/tcp.h>

#include <cstddef>
#include <cstring>
#include <vector>

namespace medlarmoor::harness {

/// Which TCP flags a built packet carries.
struct Flags {
  bool Syn_ = false;
  bool Ack_ = false;
  bool Fin_ = false;
  bool Rst_ = false;
};

inline constexpr Flags Syn{true, false, false, false};
inline constexpr Flags Ack{false, true, false, false};
inline constexpr Flags Fin{false, true, true, false};
inline constexpr Flags Rst{false, false, false, true};

/// An IPv4 packet with a TCP header and Payload zero bytes.
inline std::vector<std::byte> buildPacket(Endpoint From, Endpoint To, Flags Set,
                                          std::size_t Payload = 0) {
  iphdr Ip{};
  Ip.version = 4;
  Ip.ihl = 5;
  Ip.tot_len = htons(static_cast<std::uint16_t>(40 + Payload));
  Ip.protocol = IPPROTO_TCP;
  Ip.saddr = htonl(From.address().value());
  Ip.daddr = htonl(To.address().value());
  tcphdr Tcp{};
  Tcp.source = htons(From.port());
  Tcp.dest = htons(To.port());
  Tcp.doff = 5;
  Tcp.seq = htonl(1000);
  Tcp.syn = Set.Syn_ ? 1 : 0;
  Tcp.ack = Set.Ack_ ? 1 : 0;
  Tcp.fin = Set.Fin_ ? 1 : 0;
  Tcp.rst = Set.Rst_ ? 1 : 0;
  std::vector<std::byte> Out(40 + Payload);
  std::memcpy(Out.data(), &Ip, sizeof(Ip));
  std::memcpy(Out.data() + sizeof(Ip), &Tcp, sizeof(Tcp));
  return Out;
}

} // namespace medlarmoor::harness

#endif // MEDLARMOOR_HARNESS_PACKET_BUILDER_HPP
