#ifndef MEDLARMOOR_CTL_INTERNAL_CHANGES_HPP
#define MEDLARMOOR_CTL_INTERNAL_CHANGES_HPP

#include <medlarmoor/config/environment.hpp>

#include <string>
#include <vector>

namespace medlarmoor::ctl::internal {

/// One difference between two documents.
struct Change {
  /// "domain", "service" or "upstream".
  std::string Kind_;
  std::string Name_;
  /// What differs, for example "weight"; empty when all of it is new or gone.
  std::string Field_;
  /// Empty when it is new.
  std::string Before_;
  /// Empty when it is gone.
  std::string After_;
};

/// All differences, in the order of the kinds and names.
[[nodiscard]] std::vector<Change> changes(const config::Environment &Before,
                                          const config::Environment &After);

} // namespace medlarmoor::ctl::internal

#endif // MEDLARMOOR_CTL_INTERNAL_CHANGES_HPP
