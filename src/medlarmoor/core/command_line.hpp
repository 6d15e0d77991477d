#ifndef MEDLARMOOR_CORE_COMMAND_LINE_HPP
#define MEDLARMOOR_CORE_COMMAND_LINE_HPP

#include <medlarmoor/core/findings.hpp>

namespace medlarmoor {

/// Adds a finding when words are left that no flag took. Call it after the
/// flags were parsed.
void rejectWords(int Argc, const char *const *Argv, Findings &Found);

/// Prints the findings on standard error and gives the exit code of a process
/// that cannot start with what it was given.
[[nodiscard]] int refuse(const Findings &Found);

} // namespace medlarmoor

#endif // MEDLARMOOR_CORE_COMMAND_LINE_HPP
