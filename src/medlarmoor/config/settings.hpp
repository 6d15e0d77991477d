#ifndef MEDLARMOOR_CONFIG_SETTINGS_HPP
#define MEDLARMOOR_CONFIG_SETTINGS_HPP

#include <medlarmoor/config/ports.hpp>
#include <medlarmoor/config/shared_key.hpp>
#include <medlarmoor/core/endpoint.hpp>
#include <medlarmoor/core/ids.hpp>
#include <medlarmoor/core/time.hpp>

#include <string>
#include <vector>

namespace medlarmoor::config {

/// Bounds of the flow door.
struct FlowSettings {
  /// Flows held in the table at most.
  std::uint32_t Flows_ = 500'000;
  /// A flow without packets for this long is forgotten.
  Millis Idle_ = Seconds(300);
  /// Bytes a second that replication of exceptions may use.
  std::uint32_t ReplicationBytes_ = 3000;
};

/// Bounds of the request door.
struct RequestSettings {
  /// Keys in the ledger at most.
  std::uint32_t LedgerKeys_ = 100'000;
  /// A key is remembered this long after its deadline.
  Millis Horizon_ = Seconds(120);
};

/// Timing of membership inside a failure domain.
struct MembershipSettings {
  Millis Heartbeat_ = Millis(250);
  /// A member not heard of for this long is not live.
  Millis Lease_ = Millis(1000);
  /// How often the platform's list of instances is read.
  Millis ListPeriod_ = Seconds(2);
};

/// Another entry of the own failure domain.
struct Neighbour {
  EntryName Name_;
  Ipv4 Address_;
};

/// What one entry process is told at start, read from a TOML file.
struct Settings {
  EntryName Name_;
  DomainName Domain_;
  /// The address of this instance: it binds its ports here and connects from
  /// here.
  Ipv4 Address_;
  /// Where the other entries reach this instance: the address that the
  /// platform's list gives it; Address_ unless the settings say otherwise.
  Ipv4 Advertise_;
  Ports Ports_;
  Endpoint Platform_;
  /// The environment whose document this entry serves.
  std::string Environment_;
  /// The first key signs; all of them are accepted.
  std::vector<SharedKey> Keys_;
  /// False: this process only takes part in configuration and membership.
  bool Doors_ = true;
  /// Entries to contact at start, for the case that the platform does not
  /// answer then. Those that are gone do no harm.
  std::vector<Neighbour> Neighbours_;
  std::string LogLevel_ = "INFO";
  FlowSettings Flow_;
  RequestSettings Requests_;
  MembershipSettings Membership_;
};

} // namespace medlarmoor::config

#endif // MEDLARMOOR_CONFIG_SETTINGS_HPP
