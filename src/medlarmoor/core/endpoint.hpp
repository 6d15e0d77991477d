#ifndef MEDLARMOOR_CORE_ENDPOINT_HPP
#define MEDLARMOOR_CORE_ENDPOINT_HPP

#include <medlarmoor/core/ipv4.hpp>

namespace medlarmoor {

/// An IPv4 address and a port, both in host byte order.
class Endpoint {
public:
  constexpr Endpoint() = default;
  constexpr Endpoint(Ipv4 Address, std::uint16_t Port)
      : Address_(Address), Port_(Port) {}

  /// Reads "address:port" with a port from 1 to 65535; nothing for other text.
  [[nodiscard]] static std::optional<Endpoint> parse(std::string_view Text);

  [[nodiscard]] constexpr Ipv4 address() const noexcept { return Address_; }
  [[nodiscard]] constexpr std::uint16_t port() const noexcept { return Port_; }
  /// Address and port in one number, 48 bits wide.
  [[nodiscard]] constexpr std::uint64_t packed() const noexcept {
    return (std::uint64_t{Address_.value()} << 16U) | Port_;
  }
  /// The form that parse() reads.
  [[nodiscard]] std::string text() const;

  friend auto operator<=>(const Endpoint &, const Endpoint &) = default;

private:
  Ipv4 Address_;
  std::uint16_t Port_ = 0;
};

} // namespace medlarmoor

template <> struct std::hash<medlarmoor::Endpoint> {
  std::size_t operator()(const medlarmoor::Endpoint &Where) const noexcept {
    return std::hash<std::uint64_t>{}(Where.packed());
  }
};

#endif // MEDLARMOOR_CORE_ENDPOINT_HPP
