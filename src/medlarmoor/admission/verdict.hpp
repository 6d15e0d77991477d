#ifndef MEDLARMOOR_ADMISSION_VERDICT_HPP
#define MEDLARMOOR_ADMISSION_VERDICT_HPP

#include <medlarmoor/core/time.hpp>

#include <cstddef>
#include <variant>

namespace medlarmoor::admission {

/// The flow may be placed now.
struct Admit {};

/// The flow waits until an upstream has a free slot.
struct Wait {
  /// Time until it is expected to be placed.
  Millis Predicted_{0};
  /// Number of waiting flows that are placed before it.
  std::size_t Ahead_ = 0;
};

/// The flow is refused: it would wait for too long.
struct Refuse {
  Millis Predicted_{0};
  std::size_t Ahead_ = 0;
};

using Verdict = std::variant<Admit, Wait, Refuse>;

} // namespace medlarmoor::admission

#endif // MEDLARMOOR_ADMISSION_VERDICT_HPP
