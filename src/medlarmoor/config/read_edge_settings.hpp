#ifndef MEDLARMOOR_CONFIG_READ_EDGE_SETTINGS_HPP
#define MEDLARMOOR_CONFIG_READ_EDGE_SETTINGS_HPP

#include <medlarmoor/config/edge_settings.hpp>
#include <medlarmoor/core/findings.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace medlarmoor::config {

/// Parses the settings of an edge instance from TOML in the layout of
/// examples/edge.toml. If the text has any error, adds a finding for each one
/// to Errors and returns nullopt. File is the file name in the findings.
[[nodiscard]] std::optional<EdgeSettings>
readEdgeSettings(std::string_view Text, const std::string &File,
                 Findings &Errors);

/// Reads File and parses it like readEdgeSettings(). A file that can't be read
/// is reported as a finding.
[[nodiscard]] std::optional<EdgeSettings>
readEdgeSettingsFile(const std::string &File, Findings &Errors);

} // namespace medlarmoor::config

#endif // MEDLARMOOR_CONFIG_READ_EDGE_SETTINGS_HPP
