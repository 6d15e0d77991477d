#ifndef MEDLARMOOR_PEERS_SYNC_ACTIONS_HPP
#define MEDLARMOOR_PEERS_SYNC_ACTIONS_HPP

#include <medlarmoor/peers/announcement.hpp>

#include <cstddef>
#include <optional>
#include <vector>

namespace medlarmoor::peers {

/// Requests that an announcement be sent to other instances.
struct SendAnnouncement {
  std::vector<Endpoint> Targets_;
  Announcement Message_;
};

/// Requests that changes of a collection be fetched from a peer.
struct PullChanges {
  /// Index of the collection.
  std::size_t Collection_ = 0;
  /// Gossip endpoint of the peer.
  Endpoint Peer_;
};

/// What SharedReading requests of its owner.
struct SyncActions {
  std::vector<SendAnnouncement> Sends_;
  std::vector<PullChanges> Pulls_;
  /// Set when a peer has seen the store recover from an outage, at this time.
  std::optional<TimePoint> StoreRecoveredAt_;
};

} // namespace medlarmoor::peers

#endif // MEDLARMOOR_PEERS_SYNC_ACTIONS_HPP
