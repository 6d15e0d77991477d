#ifndef MEDLARMOOR_REQUEST_METHOD_CLASS_HPP
#define MEDLARMOOR_REQUEST_METHOD_CLASS_HPP

#include <string_view>

namespace medlarmoor::request {

/// Whether running a request twice does harm.
enum class MethodClass : unsigned char {
  Idempotent,
  /// Not idempotent: runs at most once.
  Once,
};

/// The form on the wire: "idempotent" or "once".
[[nodiscard]] constexpr std::string_view text(MethodClass Value) noexcept {
  return Value == MethodClass::Once ? "once" : "idempotent";
}

} // namespace medlarmoor::request

#endif // MEDLARMOOR_REQUEST_METHOD_CLASS_HPP
