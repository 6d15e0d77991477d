#ifndef MEDLARMOOR_REQUEST_OUTCOME_HPP
#define MEDLARMOOR_REQUEST_OUTCOME_HPP

#include <optional>
#include <string_view>

namespace medlarmoor::request {

/// The outcome that is reported to a caller.
enum class Outcome : unsigned char {
  /// The request ran, and its response arrived completely.
  Done,
  /// No upstream ever ran an attempt of its key.
  NotRun,
  /// The request may have run.
  Unknown,
};

/// Returns the form on the wire: "done", "not_run" or "unknown".
[[nodiscard]] constexpr std::string_view text(Outcome Value) noexcept {
  if (Value == Outcome::Done)
    return "done";
  return Value == Outcome::NotRun ? "not_run" : "unknown";
}

} // namespace medlarmoor::request

#endif // MEDLARMOOR_REQUEST_OUTCOME_HPP
