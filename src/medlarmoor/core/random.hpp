#ifndef MEDLARMOOR_CORE_RANDOM_HPP
#define MEDLARMOOR_CORE_RANDOM_HPP

#include <random>

namespace medlarmoor {

/// The random source that decision objects take through their constructor.
using Random = std::mt19937_64;

} // namespace medlarmoor

#endif // MEDLARMOOR_CORE_RANDOM_HPP
