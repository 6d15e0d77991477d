#ifndef MEDLARMOOR_CONFIG_STATUS_REPORT_HPP
#define MEDLARMOOR_CONFIG_STATUS_REPORT_HPP

#include <medlarmoor/core/ids.hpp>
#include <medlarmoor/core/time.hpp>

#include <map>
#include <optional>
#include <string>

namespace medlarmoor::config {

/// Which version an entry acts on and since when.
struct EntryStatus {
  ConfigVersion Version_;
  WallTime Since_;

  friend bool operator==(const EntryStatus &, const EntryStatus &) = default;
};

/// What the watcher of a failure domain writes to the platform about all
/// entries of the domain.
struct StatusReport {
  EntryName Writer_;
  WallTime Written_;
  std::map<EntryName, EntryStatus> Entries_;

  /// The JSON form. Entries that adopted one version within one second are
  /// written as one group, so that a report grows with the names alone; the
  /// time of the group is that of its last entry, rounded up.
  [[nodiscard]] std::string text() const;
};

/// Reads a report; nothing when it is malformed.
[[nodiscard]] std::optional<StatusReport>
readStatusReport(const std::string &Text);

} // namespace medlarmoor::config

#endif // MEDLARMOOR_CONFIG_STATUS_REPORT_HPP
