#ifndef MEDLARMOOR_PLACEMENT_SELECTION_POLICY_HPP
#define MEDLARMOOR_PLACEMENT_SELECTION_POLICY_HPP

#include <variant>

namespace medlarmoor::placement {

/// Selects the candidate with the lowest cost. Ties are broken by the number of
/// flows, then at random.
struct LeastLoaded {};

/// Selects the candidate with the lower cost of two drawn at random.
struct PowerOfTwoChoices {};

using SelectionPolicy = std::variant<LeastLoaded, PowerOfTwoChoices>;

} // namespace medlarmoor::placement

#endif // MEDLARMOOR_PLACEMENT_SELECTION_POLICY_HPP
