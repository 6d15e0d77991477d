#ifndef MEDLARMOOR_CONFIG_READ_SETTINGS_HPP
#define MEDLARMOOR_CONFIG_READ_SETTINGS_HPP

#include <medlarmoor/config/settings.hpp>
#include <medlarmoor/core/findings.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace medlarmoor::config {

/// Reads the settings of an entry from TOML (the layout is that of
/// examples/entry.toml). Nothing, with all findings at once, when anything is
/// wrong; File names the text in them.
[[nodiscard]] std::optional<Settings>
readSettings(std::string_view Text, const std::string &File, Findings &Out);

/// Reads the file; a file that can't be read is a finding.
[[nodiscard]] std::optional<Settings> readSettingsFile(const std::string &File,
                                                       Findings &Out);

/// The text that readSettings() reads back to the same settings.
[[nodiscard]] std::string writeSettings(const Settings &Each);

} // namespace medlarmoor::config

#endif // MEDLARMOOR_CONFIG_READ_SETTINGS_HPP
