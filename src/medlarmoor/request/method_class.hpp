#ifndef MEDLARMOOR_REQUEST_METHOD_CLASS_HPP
#define MEDLARMOOR_REQUEST_METHOD_CLASS_HPP

#include <string_view>

namespace medlarmoor::request {

/// Whether a request may run more than once.
enum class MethodClass : unsigned char {
  Idempotent,
  /// Not idempotent: must run at most once.
  Once,
};

/// Returns the form on the wire: "idempotent" or "once".
[[nodiscard]] constexpr std::string_view text(MethodClass Value) noexcept {
  return Value == MethodClass::Once ? "once" : "idempotent";
}

} // namespace medlarmoor::request

#endif // MEDLARMOOR_REQUEST_METHOD_CLASS_HPP
