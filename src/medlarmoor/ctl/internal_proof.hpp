#ifndef MEDLARMOOR_CTL_INTERNAL_PROOF_HPP
#define MEDLARMOOR_CTL_INTERNAL_PROOF_HPP

#include <medlarmoor/ctl/internal_fleet.hpp>

#include <string>
#include <vector>

namespace medlarmoor::ctl::internal {

/// Why a version may not be promoted yet.
struct Obstacle {
  /// Empty when it is about no single entry.
  EntryName Entry_;
  std::string Reason_;
};

/// What keeps Version from having been in force at every live entry for
/// Proving; empty when nothing does. An entry is live when the platform lists
/// it or its domain reports it lately.
[[nodiscard]] std::vector<Obstacle>
obstacles(const std::vector<EntryRow> &Fleet, ConfigVersion Version,
          Seconds Proving);

} // namespace medlarmoor::ctl::internal

#endif // MEDLARMOOR_CTL_INTERNAL_PROOF_HPP
