#ifndef MEDLARMOOR_HARNESS_SUBNET_HPP
#define MEDLARMOOR_HARNESS_SUBNET_HPP

#include <medlarmoor/core/ipv4.hpp>
#include <medlarmoor/net/udp_socket.hpp>

#include <cstdint>
#include <optional>

namespace medlarmoor::harness {

/// One /16 of the loopback range, held by a bound guard socket for as long as
/// the object lives, so that runs side by side never share an address.
class Subnet {
public:
  /// The first free subnet from 127.16.0.0 on.
  [[nodiscard]] static std::optional<Subnet> acquire();

  /// The address 127.SUBNET.Third.Fourth.
  [[nodiscard]] Ipv4 address(std::uint8_t Third, std::uint8_t Fourth) const;

private:
  Subnet(std::uint8_t Second, net::UdpSocket Guard);

  std::uint8_t Second_;
  net::UdpSocket Guard_;
};

} // namespace medlarmoor::harness

#endif // MEDLARMOOR_HARNESS_SUBNET_HPP
