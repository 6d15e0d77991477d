#ifndef MEDLARMOOR_CORE_STRONG_HPP
#define MEDLARMOOR_CORE_STRONG_HPP

#include <compare>
#include <functional>
#include <utility>

namespace medlarmoor {

/// A value of type Rep that only compares with values of the same Tag, so that
/// ids and counts of different things cannot be mixed up.
template <typename Rep, typename Tag> class Strong {
public:
  Strong() = default;
  constexpr explicit Strong(Rep Value) : Value_(std::move(Value)) {}

  /// The plain value, for printing and encoding.
  [[nodiscard]] constexpr const Rep &value() const noexcept { return Value_; }

  friend auto operator<=>(const Strong &, const Strong &) = default;
  friend bool operator==(const Strong &, const Strong &) = default;

private:
  Rep Value_{};
};

} // namespace medlarmoor

template <typename Rep, typename Tag>
struct std::hash<medlarmoor::Strong<Rep, Tag>> {
  std::size_t
  operator()(const medlarmoor::Strong<Rep, Tag> &Id) const noexcept {
    return std::hash<Rep>{}(Id.value());
  }
};

#endif // MEDLARMOOR_CORE_STRONG_HPP
