#ifndef MEDLARMOOR_CONFIG_READ_ENVIRONMENT_HPP
#define MEDLARMOOR_CONFIG_READ_ENVIRONMENT_HPP

#include <medlarmoor/config/environment.hpp>
#include <medlarmoor/core/findings.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace medlarmoor::config {

/// Parses and validates an environment document from TOML in the layout of
/// examples/muscat.toml. If the text has any error, adds a finding for each one
/// to Errors and returns nullopt. File is the file name in the findings.
[[nodiscard]] std::optional<Environment>
readEnvironment(std::string_view Text, const std::string &File,
                Findings &Errors);

/// Reads File and parses it like readEnvironment(). A file that can't be read
/// is reported as a finding.
[[nodiscard]] std::optional<Environment>
readEnvironmentFile(const std::string &File, Findings &Errors);

/// Returns the document as TOML text that readEnvironment() parses back to the
/// same document.
[[nodiscard]] std::string writeEnvironment(const Environment &Document);

} // namespace medlarmoor::config

#endif // MEDLARMOOR_CONFIG_READ_ENVIRONMENT_HPP
