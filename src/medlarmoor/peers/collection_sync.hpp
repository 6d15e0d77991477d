#ifndef MEDLARMOOR_PEERS_COLLECTION_SYNC_HPP
#define MEDLARMOOR_PEERS_COLLECTION_SYNC_HPP

#include <medlarmoor/core/endpoint.hpp>
#include <medlarmoor/objects/follower.hpp>
#include <medlarmoor/peers/collection_state.hpp>
#include <medlarmoor/peers/freshness_timing.hpp>
#include <medlarmoor/peers/sync_step.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>

namespace medlarmoor::peers {

/// Decides for one collection whether this instance reads the store or follows
/// another instance's reading, and when it passes its state on.
///
/// Instances do not agree on a reader. Each one relies on announced data only
/// until that data is too old, whoever announced it, and reads the store then.
/// Of several readers that hear of each other, the one with the lowest
/// precedence() continues. A wrong decision causes additional calls to the
/// store, but never makes data less current.
class CollectionSync {
public:
  /// Self is the gossip endpoint of this instance.
  CollectionSync(objects::Follower &Collection, Endpoint Self,
                 FreshnessTiming Timing);

  /// Returns the state to announce; no value before the first complete list.
  [[nodiscard]] std::optional<CollectionState> state(TimePoint Now) const;
  /// Returns true if this instance reads the store and its data is recent.
  [[nodiscard]] bool reading(TimePoint Now) const noexcept;

  /// Handles a state that a peer announced. ArrivedAfter is a time before which
  /// the announcement had not arrived, so that a datagram that waited while
  /// this process was paused counts as old. Instances is the approximate number
  /// of instances.
  SyncStep receive(const CollectionState &Announced, TimePoint ArrivedAfter,
                   std::size_t Instances, TimePoint Now);
  /// Records that a peer sent all changes up to Received, in an answer to a
  /// request that was sent at RequestedAt. Returns false if this instance has a
  /// newer revision already; the changes must then be ignored.
  bool adopt(const CollectionState &Received, TimePoint RequestedAt,
             std::size_t Instances, TimePoint Now);

  /// Returns true if the data is older than that of a reader can be, although
  /// it is not older than in an outage of the store. Other instances may have
  /// more recent data.
  [[nodiscard]] bool shouldQuery(TimePoint Now) const noexcept;
  /// Returns true if Peer, which announced a state, should learn the own one:
  /// because it has no data or outdated data, or because it reads the store
  /// although another reader has precedence.
  [[nodiscard]] bool
  shouldAnswer(const std::optional<CollectionState> &Announced, Endpoint Peer,
               TimePoint Now) const noexcept;
  /// Returns true, once, if the state has improved so much since the last call
  /// that returned true that other instances should learn it.
  bool takeSpread(TimePoint Now);

private:
  /// Returns the time from which this instance reads the store if its data is
  /// as of AsOf.
  [[nodiscard]] TimePoint takeoverTime(TimePoint AsOf,
                                       std::size_t Instances) const noexcept;
  void follow(const CollectionState &Peer, TimePoint AsOf,
              std::size_t Instances);
  /// Returns the instance whose reading the own state reflects.
  [[nodiscard]] Endpoint reader() const noexcept;

  objects::Follower &Collection_;
  Endpoint Self_;
  FreshnessTiming Timing_;
  /// The reader that was followed last, and as of when its data was.
  Endpoint FollowedReader_;
  std::optional<TimePoint> FollowedAsOf_;
  StoreRevision SpreadChange_;
  std::optional<TimePoint> SpreadAsOf_;
  Endpoint SpreadReader_;
};

} // namespace medlarmoor::peers

#endif // MEDLARMOOR_PEERS_COLLECTION_SYNC_HPP
