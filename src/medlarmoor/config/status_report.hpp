#ifndef MEDLARMOOR_CONFIG_STATUS_REPORT_HPP
#define MEDLARMOOR_CONFIG_STATUS_REPORT_HPP

#include <medlarmoor/core/ids.hpp>
#include <medlarmoor/core/time.hpp>

#include <map>
#include <optional>
#include <string>

namespace medlarmoor::config {

/// The configuration version that an entry has in force, and since when.
struct EntryStatus {
  ConfigVersion Version_;
  WallTime Since_;

  friend bool operator==(const EntryStatus &, const EntryStatus &) = default;
};

/// The status of all entries of a failure domain, which the leading watcher of
/// the domain writes to the platform.
struct StatusReport {
  EntryName Writer_;
  WallTime WrittenAt_;
  std::map<EntryName, EntryStatus> Entries_;

  /// Returns the JSON form. Entries that adopted the same version within the
  /// same second are written as one group, so that the size of a report grows
  /// with the names only. The time of a group is the adoption time of its last
  /// entry, rounded up to a full second.
  [[nodiscard]] std::string text() const;
};

/// Parses a report. Returns nullopt if it is malformed.
[[nodiscard]] std::optional<StatusReport>
readStatusReport(const std::string &Text);

} // namespace medlarmoor::config

#endif // MEDLARMOOR_CONFIG_STATUS_REPORT_HPP
