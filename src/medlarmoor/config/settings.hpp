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

/// Limits of the flow listener.
struct FlowSettings {
  /// The maximum number of flows in the table.
  std::uint32_t MaxFlows_ = 500'000;
  /// A flow without packets for this long is removed.
  Millis IdleTimeout_ = Seconds(300);
  /// The maximum rate of override replication in bytes per second.
  std::uint32_t ReplicationBytesPerSecond_ = 3000;
};

/// Limits of the request listener.
struct RequestSettings {
  /// The maximum number of keys in the ledger.
  std::uint32_t MaxLedgerKeys_ = 100'000;
  /// A key is retained in the ledger for this long after its deadline.
  Millis Horizon_ = Seconds(120);
};

/// Timing of the membership protocol within a failure domain.
struct MembershipSettings {
  Millis HeartbeatPeriod_ = Millis(250);
  /// A member without a heartbeat for this long is not live.
  Millis Lease_ = Millis(1000);
  /// The interval between reads of the platform's list of instances.
  Millis ListPeriod_ = Seconds(2);
};

/// Another entry of the same failure domain.
struct Neighbour {
  EntryName Name_;
  Ipv4 Address_;
};

/// The settings of one entry process, read from a TOML file at start.
struct Settings {
  EntryName Name_;
  DomainName Domain_;
  /// The address of this instance, on which it binds its ports and from which
  /// it opens connections.
  Ipv4 Address_;
  /// The address at which other entries reach this instance, as it appears in
  /// the platform's list. Defaults to Address_.
  Ipv4 AdvertisedAddress_;
  Ports Ports_;
  Endpoint Platform_;
  /// The environment whose document this entry serves.
  std::string Environment_;
  /// Messages are signed with the first key and accepted with any of them.
  std::vector<SharedKey> Keys_;
  /// If false, the process has no flow and request listeners and takes part in
  /// configuration and membership only.
  bool ListenersEnabled_ = true;
  /// Entries to contact at start in case the platform does not answer. Entries
  /// that no longer exist do no harm.
  std::vector<Neighbour> Neighbours_;
  std::string LogLevel_ = "INFO";
  FlowSettings Flow_;
  RequestSettings Requests_;
  MembershipSettings Membership_;
};

} // namespace medlarmoor::config

#endif // MEDLARMOOR_CONFIG_SETTINGS_HPP
