#ifndef MEDLARMOOR_HARNESS_CLUSTER_ADDRESSES_HPP
#define MEDLARMOOR_HARNESS_CLUSTER_ADDRESSES_HPP

#include <harness/subnet.hpp>
#include <medlarmoor/core/endpoint.hpp>

namespace medlarmoor::harness {

/// Where the processes of a cluster stand in its subnet. An instance behind
/// the fault proxy is shown at one address and stands at another, whose third
/// byte is greater by 100.
class ClusterAddresses {
public:
  ClusterAddresses(const Subnet &Net, bool Proxied)
      : Net_(Net), Proxied_(Proxied) {}

  /// The address that others use for a place in the document's layout.
  [[nodiscard]] Ipv4 shown(Ipv4 Place) const {
    return Net_.address(third(Place), fourth(Place));
  }
  /// The address on which the process at that place listens.
  [[nodiscard]] Ipv4 real(Ipv4 Place) const {
    const auto Third =
        static_cast<std::uint8_t>(third(Place) + (Proxied_ ? RealOffset : 0));
    return Net_.address(Third, fourth(Place));
  }

  [[nodiscard]] static Ipv4 place(std::uint8_t Third, std::uint8_t Fourth) {
    return Ipv4((std::uint32_t{Third} << ByteBits) | Fourth);
  }
  [[nodiscard]] static Ipv4 platform() { return place(9, 1); }
  [[nodiscard]] static Ipv4 entry(std::uint8_t Domain, std::uint8_t Number) {
    return place(static_cast<std::uint8_t>(11 + Domain), Number);
  }
  [[nodiscard]] Ipv4 caller(std::uint8_t Number) const {
    return Net_.address(31, Number);
  }
  [[nodiscard]] Endpoint fabricPackets() const {
    return {Net_.address(32, 1), 7500};
  }
  [[nodiscard]] Endpoint fabricHarness() const {
    return {Net_.address(32, 1), 7590};
  }
  [[nodiscard]] Endpoint callerHarness(std::uint8_t Number) const {
    return {caller(Number), 7390};
  }
  [[nodiscard]] Endpoint proxyHarness() const {
    return {Net_.address(33, 1), 7690};
  }
  [[nodiscard]] Endpoint platformApi() const {
    return {shown(platform()), PlatformPort};
  }
  [[nodiscard]] Endpoint platformApiBehind() const {
    return {real(platform()), PlatformPort};
  }
  [[nodiscard]] Endpoint platformHarness() const {
    return {real(platform()), 7401};
  }

  static constexpr std::uint16_t PlatformPort = 7400;

private:
  static constexpr unsigned ByteBits = 8;
  static constexpr std::uint8_t RealOffset = 100;

  static std::uint8_t third(Ipv4 Place) {
    return static_cast<std::uint8_t>(Place.value() >> ByteBits);
  }
  static std::uint8_t fourth(Ipv4 Place) {
    return static_cast<std::uint8_t>(Place.value());
  }

  const Subnet &Net_;
  bool Proxied_;
};

} // namespace medlarmoor::harness

#endif // MEDLARMOOR_HARNESS_CLUSTER_ADDRESSES_HPP
