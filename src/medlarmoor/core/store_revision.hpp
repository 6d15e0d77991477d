#ifndef MEDLARMOOR_CORE_STORE_REVISION_HPP
#define MEDLARMOOR_CORE_STORE_REVISION_HPP

#include <medlarmoor/core/strong.hpp>

#include <compare>
#include <cstdint>

namespace medlarmoor {

/// Number of times that a store has been restored from an older copy. Changes
/// that the copy lacks are lost, and their revisions are given out again.
using StoreEpoch = Strong<std::uint64_t, struct StoreEpochTag>;

/// A position in the history of a store. Within an epoch the number increases
/// with each change; equal numbers of two epochs have nothing in common.
struct StoreRevision {
  StoreEpoch Epoch_;
  std::uint64_t Number_ = 0;

  friend auto operator<=>(const StoreRevision &,
                          const StoreRevision &) = default;
};

} // namespace medlarmoor

#endif // MEDLARMOOR_CORE_STORE_REVISION_HPP
