#ifndef MEDLARMOOR_CONFIG_READ_SETTINGS_HPP
#define MEDLARMOOR_CONFIG_READ_SETTINGS_HPP

#include <medlarmoor/config/settings.hpp>
#include <medlarmoor/core/findings.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace medlarmoor::config {

/// Parses the settings of an entry from TOML in the layout of
/// examples/entry.toml. If the text has any error, adds a finding for each one
/// to Errors and returns nullopt. File is the file name in the findings.
[[nodiscard]] std::optional<Settings>
readSettings(std::string_view Text, const std::string &File, Findings &Errors);

/// Reads File and parses it like readSettings(). A file that can't be read is
/// reported as a finding.
[[nodiscard]] std::optional<Settings> readSettingsFile(const std::string &File,
                                                       Findings &Errors);

/// Returns the settings as TOML text that readSettings() parses back to the
/// same settings.
[[nodiscard]] std::string writeSettings(const Settings &Source);

} // namespace medlarmoor::config

#endif // MEDLARMOOR_CONFIG_READ_SETTINGS_HPP
