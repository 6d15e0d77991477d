#ifndef MEDLARMOOR_CONFIG_READ_ENVIRONMENT_HPP
#define MEDLARMOOR_CONFIG_READ_ENVIRONMENT_HPP

#include <medlarmoor/config/environment.hpp>
#include <medlarmoor/core/findings.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace medlarmoor::config {

/// Reads and checks an environment document in TOML (the layout is that of
/// examples/muscat.toml). Nothing, with all findings at once, when anything is
/// wrong; File names the text in them.
[[nodiscard]] std::optional<Environment>
readEnvironment(std::string_view Text, const std::string &File, Findings &Out);

/// Reads the file; a file that can't be read is a finding.
[[nodiscard]] std::optional<Environment>
readEnvironmentFile(const std::string &File, Findings &Out);

/// The text that readEnvironment() reads back to the same document.
[[nodiscard]] std::string writeEnvironment(const Environment &Each);

} // namespace medlarmoor::config

#endif // MEDLARMOOR_CONFIG_READ_ENVIRONMENT_HPP
