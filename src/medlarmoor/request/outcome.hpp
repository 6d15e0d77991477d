#ifndef MEDLARMOOR_REQUEST_OUTCOME_HPP
#define MEDLARMOOR_REQUEST_OUTCOME_HPP

#include <optional>
#include <string_view>

namespace medlarmoor::request {

/// What a caller is told about its request.
enum class Outcome : unsigned char {
  /// It ran, and the whole answer is known to have arrived.
  Done,
  /// No attempt of its key was ever run by an upstream.
  NotRun,
  /// It may have run.
  Unknown,
};

/// The form on the wire: "done", "not_run" or "unknown".
[[nodiscard]] constexpr std::string_view text(Outcome Value) noexcept {
  if (Value == Outcome::Done)
    return "done";
  return Value == Outcome::NotRun ? "not_run" : "unknown";
}

} // namespace medlarmoor::request

#endif // MEDLARMOOR_REQUEST_OUTCOME_HPP
