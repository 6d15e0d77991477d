#ifndef MEDLARMOOR_CORE_FINDING_HPP
#define MEDLARMOOR_CORE_FINDING_HPP

#include <medlarmoor/core/place.hpp>

#include <string>

namespace medlarmoor {

/// One thing wrong with an input, with its place and, where one is known, a
/// hint that tells how to mend it.
struct Finding {
  Place Place_;
  std::string Message_;
  std::string Hint_;

  /// "file:line:column: message (hint)".
  [[nodiscard]] std::string text() const;
};

} // namespace medlarmoor

#endif // MEDLARMOOR_CORE_FINDING_HPP
