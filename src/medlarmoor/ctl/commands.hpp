#ifndef MEDLARMOOR_CTL_COMMANDS_HPP
#define MEDLARMOOR_CTL_COMMANDS_HPP

#include <medlarmoor/ctl/options.hpp>
#include <medlarmoor/ctl/outcome.hpp>

#include <string>

namespace medlarmoor::ctl {

/// Checks a document; all findings at once.
[[nodiscard]] Outcome check(const std::string &File);
/// Tells what a document would change, and what that would cost.
[[nodiscard]] Outcome diff(const std::string &File, const Options &Asked);
/// Checks a document and has it accepted.
[[nodiscard]] Outcome apply(const std::string &File, const Options &Asked);
/// Tells which version is accepted and which is in force where.
[[nodiscard]] Outcome status(const std::string &Environment,
                             const Options &Asked);
/// Copies the version of From_ that was seen to To_, when it is proven.
[[nodiscard]] Outcome promote(const Options &Asked);
/// Asks an entry which rule decided about a flow or a request.
[[nodiscard]] Outcome explain(const Options &Asked);

} // namespace medlarmoor::ctl

#endif // MEDLARMOOR_CTL_COMMANDS_HPP
