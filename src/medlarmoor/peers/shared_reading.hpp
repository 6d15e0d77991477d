#ifndef MEDLARMOOR_PEERS_SHARED_READING_HPP
#define MEDLARMOOR_PEERS_SHARED_READING_HPP

#include <medlarmoor/peers/adoption.hpp>
#include <medlarmoor/peers/collection_sync.hpp>
#include <medlarmoor/peers/fanout.hpp>
#include <medlarmoor/peers/member_table.hpp>
#include <medlarmoor/peers/sync_actions.hpp>
#include <medlarmoor/routing/router.hpp>

#include <optional>
#include <vector>

namespace medlarmoor::peers {

/// Keeps the collections of this instance current through other instances, so
/// that few instances read the store for all. An instance that learns more
/// recent data passes its revisions and their ages on to a few others; those
/// that lack changes pull them from it. Performs no I/O.
class SharedReading {
public:
  /// Indices of the collections.
  static constexpr std::size_t Upstreams = 0;
  static constexpr std::size_t Routes = 1;
  static constexpr std::size_t Evacuations = 2;
  using Followers = std::vector<objects::Follower *>;

  /// Self is the gossip endpoint of this instance. Collections holds the
  /// followers in the order of the indices above, without the last one if this
  /// instance does not read evacuations; Table holds the routes.
  SharedReading(Endpoint Self, DomainName LocalDomain,
                std::vector<Endpoint> Seeds, Followers Collections,
                const routing::Router &Table, FreshnessTiming Timing,
                Fanout SpreadFanout, Random RandomSource);

  /// Records the start of this instance. To be called once, before any other
  /// function that takes a time.
  void start(TimePoint Now) noexcept { StartedAt_ = Now; }
  /// Replaces the endpoints at which gossip begins.
  void setSeeds(std::vector<Endpoint> Seeds) {
    Members_.setSeeds(std::move(Seeds));
  }

  /// Announces Reports to all members, and gossips if it is due. To be called
  /// a few times per second.
  [[nodiscard]] SyncActions tick(placement::UpstreamReports Reports,
                                 TimePoint Now);
  /// Announces the own load to members of the own failure domain, at most four
  /// times a second, if there is any or it has just ended.
  [[nodiscard]] SyncActions
  announceLoad(std::vector<placement::UpstreamLoad> Load, TimePoint Now);
  /// Handles an announcement that had not arrived before ArrivedAfter.
  [[nodiscard]] SyncActions receive(const Announcement &Message,
                                    TimePoint ArrivedAfter, TimePoint Now);
  /// Passes on what has been learnt since the last call. To be called after
  /// each answer of the store and each pull.
  [[nodiscard]] SyncActions spread(TimePoint Now);
  /// Records all changes up to Received from a peer; see
  /// CollectionSync::adopt().
  Adoption adopt(std::size_t Collection, const CollectionState &Received,
                 TimePoint RequestedAt, TimePoint Now);
  /// Records that the store recovered from an outage at RecoveredAt. It is
  /// announced for some seconds.
  void recordStoreRecovery(TimePoint RecoveredAt);

  /// Returns the state of a collection; no value before its first list.
  [[nodiscard]] std::optional<CollectionState> state(std::size_t Collection,
                                                     TimePoint Now) const {
    return Collections_[Collection].state(Now);
  }
  /// Returns true if this instance reads all collections from the store.
  [[nodiscard]] bool reading(TimePoint Now) const noexcept;
  /// Returns the number of other instances that are known.
  [[nodiscard]] std::size_t members() const noexcept { return Members_.size(); }
  /// Returns the other instances that are known, in a fixed order.
  [[nodiscard]] std::vector<placement::FleetMember> fleet() const {
    return Members_.fleet();
  }

private:
  [[nodiscard]] Announcement makeAnnouncement(TimePoint Now) const;
  [[nodiscard]] SendAnnouncement gossip(std::vector<Endpoint> Targets,
                                        TimePoint Now);
  void addSpread(SyncActions &Actions, TimePoint Now);
  /// Requests the routes of a peer that has a higher version in force, even if
  /// its data is no more recent than the own one.
  void receiveRouteVersion(ConfigVersion Announced, Endpoint Peer,
                           SyncActions &Actions) const;
  /// Returns true if the sender of Message should learn the own state.
  [[nodiscard]] bool shouldAnswer(const Announcement &Message,
                                  TimePoint Now) const noexcept;
  /// Returns true if this instance reads evacuations.
  [[nodiscard]] bool readsEvacuations() const noexcept {
    return Collections_.size() > Evacuations;
  }
  /// Handles the announced state of one collection.
  void receiveState(std::size_t Collection,
                    const std::optional<CollectionState> &Announced,
                    Endpoint Peer, TimePoint ArrivedAfter, TimePoint Now,
                    SyncActions &Actions);
  /// Returns the approximate number of instances, this one included.
  [[nodiscard]] std::size_t instances() const noexcept {
    return Members_.size() + 1;
  }
  [[nodiscard]] bool loaded() const noexcept;

  Endpoint Self_;
  DomainName LocalDomain_;
  MemberTable Members_;
  Followers Followers_;
  const routing::Router &Routes_;
  std::vector<CollectionSync> Collections_;
  Fanout SpreadFanout_;
  TimePoint StartedAt_{};
  TimePoint NextGossip_{};
  std::optional<TimePoint> StoreRecoveredAt_;
  TimePoint NextLoad_{};
  /// The last load that was announced was not empty.
  bool LoadAnnounced_ = false;
};

} // namespace medlarmoor::peers

#endif // MEDLARMOOR_PEERS_SHARED_READING_HPP
