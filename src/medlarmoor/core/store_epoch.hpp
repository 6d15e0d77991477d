#ifndef MEDLARMOOR_CORE_STORE_EPOCH_HPP
#define MEDLARMOOR_CORE_STORE_EPOCH_HPP

#include <medlarmoor/core/strong.hpp>

#include <cstdint>

namespace medlarmoor {

/// Number of times that a store has been restored from an older copy. Changes
/// that the copy lacks are lost, and their revisions are given out again.
using StoreEpoch = Strong<std::uint64_t, struct StoreEpochTag>;

} // namespace medlarmoor

#endif // MEDLARMOOR_CORE_STORE_EPOCH_HPP
