#ifndef MEDLARMOOR_CTL_COMMANDS_HPP
#define MEDLARMOOR_CTL_COMMANDS_HPP

#include <medlarmoor/ctl/options.hpp>
#include <medlarmoor/ctl/outcome.hpp>

#include <string>

namespace medlarmoor::ctl {

/// Checks a document; all findings at once.
[[nodiscard]] Outcome check(const std::string &File);
/// Checks a document and has it accepted.
[[nodiscard]] Outcome apply(const std::string &File, const Options &Asked);
/// Tells which version is accepted and which is in force where.
[[nodiscard]] Outcome status(const std::string &Environment,
                             const Options &Asked);

} // namespace medlarmoor::ctl

#endif // MEDLARMOOR_CTL_COMMANDS_HPP
