#ifndef MEDLARMOOR_PLACEMENT_SELECTION_POLICY_HPP
#define MEDLARMOOR_PLACEMENT_SELECTION_POLICY_HPP

#include <variant>

namespace medlarmoor::placement {

/// The candidate with the lowest cost; equal ones are drawn at random.
struct LeastLoaded {};

/// The better one of two candidates drawn at random.
struct PowerOfTwoChoices {};

using SelectionPolicy = std::variant<LeastLoaded, PowerOfTwoChoices>;

} // namespace medlarmoor::placement

#endif // MEDLARMOOR_PLACEMENT_SELECTION_POLICY_HPP
