#ifndef MEDLARMOOR_TEST_CONFIG_FIXED_SEED_HPP
#define MEDLARMOOR_TEST_CONFIG_FIXED_SEED_HPP

#include <cstdlib>

namespace medlarmoor::test {

/// Property tests draw the same cases at every run. Rapidcheck reads this
/// before its first property.
inline const bool FixedSeed =
    setenv("RC_PARAMS", "seed=20261204 max_success=300", 1) == 0;

} // namespace medlarmoor::test

#endif // MEDLARMOOR_TEST_CONFIG_FIXED_SEED_HPP
