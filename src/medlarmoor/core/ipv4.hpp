#ifndef MEDLARMOOR_CORE_IPV4_HPP
#define MEDLARMOOR_CORE_IPV4_HPP

#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace medlarmoor {

/// An IPv4 address in host byte order.
class Ipv4 {
public:
  constexpr Ipv4() = default;
  constexpr explicit Ipv4(std::uint32_t Value) : Value_(Value) {}

  /// Reads dotted decimal; nothing for any other text.
  [[nodiscard]] static std::optional<Ipv4> parse(std::string_view Text);

  [[nodiscard]] constexpr std::uint32_t value() const noexcept {
    return Value_;
  }
  [[nodiscard]] std::string text() const;

  friend auto operator<=>(const Ipv4 &, const Ipv4 &) = default;

private:
  std::uint32_t Value_ = 0;
};

} // namespace medlarmoor

template <> struct std::hash<medlarmoor::Ipv4> {
  std::size_t operator()(const medlarmoor::Ipv4 &Address) const noexcept {
    return std::hash<std::uint32_t>{}(Address.value());
  }
};

#endif // MEDLARMOOR_CORE_IPV4_HPP
