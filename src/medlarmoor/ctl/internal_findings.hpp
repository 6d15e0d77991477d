#ifndef MEDLARMOOR_CTL_INTERNAL_FINDINGS_HPP
#define MEDLARMOOR_CTL_INTERNAL_FINDINGS_HPP

#include <medlarmoor/core/findings.hpp>
#include <medlarmoor/ctl/outcome.hpp>

namespace medlarmoor::ctl::internal {

/// The outcome of a command whose document has findings.
[[nodiscard]] Outcome reportFindings(const Findings &Found);

} // namespace medlarmoor::ctl::internal

#endif // MEDLARMOOR_CTL_INTERNAL_FINDINGS_HPP
