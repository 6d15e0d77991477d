#ifndef MEDLARMOOR_CONFIG_READ_EDGE_SETTINGS_HPP
#define MEDLARMOOR_CONFIG_READ_EDGE_SETTINGS_HPP

#include <medlarmoor/config/edge_settings.hpp>
#include <medlarmoor/core/findings.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace medlarmoor::config {

/// Reads the settings of an edge instance from TOML (the layout is that of
/// examples/edge.toml). Nothing, with all findings at once, when anything is
/// wrong; File names the text in them.
[[nodiscard]] std::optional<EdgeSettings>
readEdgeSettings(std::string_view Text, const std::string &File, Findings &Out);

/// Reads the file; a file that can't be read is a finding.
[[nodiscard]] std::optional<EdgeSettings>
readEdgeSettingsFile(const std::string &File, Findings &Out);

} // namespace medlarmoor::config

#endif // MEDLARMOOR_CONFIG_READ_EDGE_SETTINGS_HPP
