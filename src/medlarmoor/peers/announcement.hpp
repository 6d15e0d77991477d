#ifndef MEDLARMOOR_PEERS_ANNOUNCEMENT_HPP
#define MEDLARMOOR_PEERS_ANNOUNCEMENT_HPP

#include <medlarmoor/core/ids.hpp>
#include <medlarmoor/peers/collection_state.hpp>
#include <medlarmoor/peers/member.hpp>
#include <medlarmoor/placement/upstream_load.hpp>
#include <medlarmoor/placement/upstream_reports.hpp>

#include <cstddef>
#include <optional>
#include <vector>

namespace medlarmoor::peers {

/// Message in which an instance reports its own state, and how current its
/// collections from the store are, to other instances.
struct Announcement {
  /// Where the sender receives gossip; identifies it.
  Endpoint From_;
  DomainName Domain_;
  /// How current the sender's collections are; no value until it has the
  /// collection.
  std::optional<CollectionState> Upstreams_;
  std::optional<CollectionState> Routes_;
  /// How current the sender's evacuations are; no value until it has them, and
  /// if it does not read them.
  std::optional<CollectionState> Evacuations_;
  /// True if the sender reads evacuations. Without data it needs them then.
  bool ReadsEvacuations_ = false;
  /// True if the sender's field about evacuations could not be decoded.
  bool EvacuationsMalformed_ = false;
  /// The version of the routes that the sender has in force, 0 if it has none.
  ConfigVersion RouteVersion_;
  /// Time since the store recovered from its last outage; no value if that was
  /// not recent.
  std::optional<Millis> StoreRecovered_;
  placement::UpstreamReports Reports_;
  /// The load of the sender's flows at upstreams; no value in messages that do
  /// not report it.
  std::optional<std::vector<placement::UpstreamLoad>> Load_;
  /// True if the message reports a load that could not be read.
  bool LoadMalformed_ = false;
  /// Number of members that the sender knows.
  std::size_t KnownMembers_ = 0;
  /// Some of the members that the sender knows.
  std::vector<Member> Members_;

  friend bool operator==(const Announcement &, const Announcement &) = default;
};

} // namespace medlarmoor::peers

#endif // MEDLARMOOR_PEERS_ANNOUNCEMENT_HPP
