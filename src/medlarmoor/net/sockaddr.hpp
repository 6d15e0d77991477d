#ifndef MEDLARMOOR_NET_SOCKADDR_HPP
#define MEDLARMOOR_NET_SOCKADDR_HPP

#include <medlarmoor/core/endpoint.hpp>

#include <arpa/inet.h>
#include <netinet/in.h>

namespace medlarmoor::net {

/// The C library's form of Where.
[[nodiscard]] inline sockaddr_in toSockaddr(Endpoint Where) noexcept {
  sockaddr_in Out{};
  Out.sin_family = AF_INET;
  Out.sin_port = htons(Where.port());
  Out.sin_addr.s_addr = htonl(Where.address().value());
  return Out;
}

/// The endpoint that Raw names.
[[nodiscard]] inline Endpoint toEndpoint(const sockaddr_in &Raw) noexcept {
  return {Ipv4(ntohl(Raw.sin_addr.s_addr)), ntohs(Raw.sin_port)};
}

} // namespace medlarmoor::net

#endif // MEDLARMOOR_NET_SOCKADDR_HPP
