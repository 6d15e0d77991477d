#include <harness/subnet.hpp>

#include <utility>

namespace medlarmoor::harness {

namespace {

constexpr std::uint8_t FirstSubnet = 16;
constexpr std::uint8_t LastSubnet = 250;
constexpr std::uint16_t GuardPort = 7099;

Ipv4 loopback(std::uint8_t Second, std::uint8_t Third, std::uint8_t Fourth) {
  return Ipv4((127U << 24U) | (std::uint32_t{Second} << 16U) |
              (std::uint32_t{Third} << 8U) | Fourth);
}

} // namespace

Subnet::Subnet(std::uint8_t Second, net::UdpSocket Guard)
    : Second_(Second), Guard_(std::move(Guard)) {}

std::optional<Subnet> Subnet::acquire() {
  for (std::uint8_t Second = FirstSubnet; Second <= LastSubnet; ++Second) {
    net::UdpSocket Guard;
    if (Guard.open({loopback(Second, 255, 254), GuardPort}))
      return Subnet(Second, std::move(Guard));
  }
  return std::nullopt;
}

Ipv4 Subnet::address(std::uint8_t Third, std::uint8_t Fourth) const {
  return loopback(Second_, Third, Fourth);
}

} // namespace medlarmoor::harness
