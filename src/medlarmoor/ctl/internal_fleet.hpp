#ifndef MEDLARMOOR_CTL_INTERNAL_FLEET_HPP
#define MEDLARMOOR_CTL_INTERNAL_FLEET_HPP

#include <medlarmoor/config/status_report.hpp>
#include <medlarmoor/platform/sync_client.hpp>

#include <optional>
#include <string>
#include <vector>

namespace medlarmoor::ctl::internal {

/// What is known of one entry.
enum class EntryState : unsigned char {
  /// Its domain reports it, lately.
  Reported,
  /// Its domain reported it, but has not reported for a while.
  CutOff,
  /// The platform lists it as live, but no domain reports it.
  Unreported,
};

/// One entry of an environment.
struct EntryRow {
  EntryName Name_;
  DomainName Domain_;
  EntryState State_ = EntryState::Unreported;
  std::optional<config::EntryStatus> Status_;
  /// When its domain reported last, on the clock of the one that reports.
  WallTime Reported_;
  /// The platform lists it as live.
  bool Listed_ = false;
};

[[nodiscard]] std::string stateText(EntryState State);

/// The entries of Environment, sorted by domain and name: those that its
/// domains report, and those that the platform lists as live and that no other
/// environment reports. Nothing, with Reason set, when the platform can't be
/// read.
[[nodiscard]] std::optional<std::vector<EntryRow>>
readFleet(const platform::SyncClient &From, const std::string &Environment,
          std::string &Reason);

} // namespace medlarmoor::ctl::internal

#endif // MEDLARMOOR_CTL_INTERNAL_FLEET_HPP
