#ifndef MEDLARMOOR_TEST_CONFIG_FIXED_SEED_HPP
#define MEDLARMOOR_TEST_CONFIG_FIXED_SEED_HPP

#include <cstdlib>

namespace medlarmoor::test {

/// Fixes the seed of the property tests, so that they draw the same cases in
/// every run. RapidCheck reads the variable before its first property.
inline const bool FixedSeed =
    setenv("RC_PARAMS", "seed=20261204 max_success=300", 1) == 0;

} // namespace medlarmoor::test

#endif // MEDLARMOOR_TEST_CONFIG_FIXED_SEED_HPP
