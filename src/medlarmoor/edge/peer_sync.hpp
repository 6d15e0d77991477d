#ifndef MEDLARMOOR_EDGE_PEER_SYNC_HPP
#define MEDLARMOOR_EDGE_PEER_SYNC_HPP

#include <medlarmoor/config/edge_settings.hpp>
#include <medlarmoor/core/clock.hpp>
#include <medlarmoor/core/random.hpp>
#include <medlarmoor/discovery/upstream_changes.hpp>
#include <medlarmoor/edge/snapshot.hpp>
#include <medlarmoor/net/http_client.hpp>
#include <medlarmoor/net/http_server.hpp>
#include <medlarmoor/net/udp_socket.hpp>
#include <medlarmoor/objects/follower.hpp>
#include <medlarmoor/peers/member_table.hpp>
#include <medlarmoor/peers/reader_election.hpp>
#include <medlarmoor/routing/route_changes.hpp>
#include <medlarmoor/telemetry/event_log.hpp>
#include <medlarmoor/telemetry/registry.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <functional>
#include <optional>
#include <string>

namespace medlarmoor::edge {

/// Announces to other instances which revisions this one has read from the
/// store, and pulls newer revisions from them, so that few instances read the
/// store for all.
class PeerSync {
public:
  /// Connects the synchronization to the followers, the catalog and the router
  /// of this instance.
  struct Bindings {
    objects::Follower &Upstreams_;
    objects::Follower &Routes_;
    /// Return the changes after a revision.
    std::function<discovery::UpstreamChanges(std::uint64_t)> UpstreamsSince_;
    std::function<routing::RouteChanges(std::uint64_t)> RoutesSince_;
    /// Apply a peer's changes. They are called after the follower has adopted
    /// the revision.
    std::function<void(discovery::UpstreamChanges)> ApplyUpstreams_;
    std::function<void(const routing::RouteChanges &)> ApplyRoutes_;
    /// Reads the store at once because a pull from a peer has failed.
    std::function<void()> ReadStoreNow_;
    /// Called when the store has recovered from an outage, with the time of the
    /// recovery.
    std::function<void(TimePoint)> OnStoreRecovered_;
    /// Returns the upstreams at which this instance's requests have begun to
    /// fail since the last call.
    std::function<std::vector<placement::Suspect>()> TakeSuspects_;
    /// Called when a peer, given by its gossip endpoint, reports an upstream at
    /// which its requests have begun to fail.
    std::function<void(const placement::Suspect &, Endpoint)> ReportSuspect_;
  };

  PeerSync(boost::asio::io_context &Io, const config::EdgeSettings &Settings,
           peers::ElectionTiming Timing, Bindings Owner, Random RandomSource,
           Clock Time, telemetry::Registry &Metrics, telemetry::EventLog &Log);
  ~PeerSync();
  PeerSync(const PeerSync &) = delete;
  PeerSync &operator=(const PeerSync &) = delete;

  /// Binds the addresses and begins to gossip. Returns false on failure;
  /// lastReason() then says why.
  [[nodiscard]] bool start();
  [[nodiscard]] const std::string &lastReason() const noexcept {
    return LastReason_;
  }

  /// Replaces the endpoints at which gossip begins.
  void setSeeds(std::vector<Endpoint> Seeds) {
    Members_.setSeeds(std::move(Seeds));
  }
  /// Announces at once a change that this instance has read from the store.
  void announceChange();
  /// Records that this instance saw the store recover from an outage.
  void storeRecovered(TimePoint Now) { recordStoreRecovery(Now); }

private:
  /// A collection that is exchanged with peers.
  struct SyncedCollection {
    const char *Path_;
    objects::Follower &Follower_;
    /// Returns the encoded changes after a revision.
    std::function<std::string(const peers::CollectionState &, std::uint64_t)>
        Encode_;
    /// Applies encoded changes. Returns false if the text is not valid.
    std::function<bool(const std::string &)> Apply_;
    /// A pull from a peer is in flight.
    bool Pulling_ = false;
  };

  /// Applies a peer's snapshot unless a newer revision is known. Returns false
  /// if there is no snapshot.
  template <typename Changes, typename Function>
  bool applySnapshot(SyncedCollection &Collection,
                     std::optional<Snapshot<Changes>> Received,
                     const Function &Apply);
  /// Records that this instance or a peer saw the store recover at
  /// RecoveredAt.
  void recordStoreRecovery(TimePoint RecoveredAt);
  /// Returns true if this instance reads both collections from the store itself
  /// and is current.
  [[nodiscard]] bool isReader(TimePoint Now) const;
  /// Returns no value before the first complete list.
  [[nodiscard]] std::optional<peers::CollectionState>
  state(const SyncedCollection &Collection, TimePoint Now) const;
  [[nodiscard]] peers::Announcement makeAnnouncement(TimePoint Now);
  /// Returns the members that this instance announces its state to.
  [[nodiscard]] std::vector<Endpoint> announceTargets() const;
  /// Returns true if this instance may rely on the sender's reading.
  [[nodiscard]] bool inScope(const peers::Announcement &Message) const;
  /// Sends how current this instance is.
  void announce(const std::vector<Endpoint> &Targets, TimePoint Now);
  /// Sends how current this instance is and some of the members it knows.
  void gossip(const std::vector<Endpoint> &Targets, TimePoint Now);
  void send(const std::vector<Endpoint> &Targets,
            const peers::Announcement &Message);
  void tick();
  void updateReaderRole(bool IsReader, TimePoint Now);
  void waitForDatagrams();
  void receiveDatagrams();
  void handleAnnouncement(const peers::Announcement &Message, TimePoint Now);
  /// Compares an announced collection with this instance's own: pulls it when
  /// it is newer, and defers reading the store when the sender is trusted and
  /// not behind.
  void compareRevisions(SyncedCollection &Collection,
                        const std::optional<peers::CollectionState> &Announced,
                        const peers::Announcement &Message, bool Trusted,
                        TimePoint Now);
  /// Fetches from a peer the changes since this instance's revision.
  void pull(SyncedCollection &Collection, Endpoint Peer);
  /// Serves a snapshot to a peer.
  net::HttpResponse serveSnapshot(const net::HttpRequest &Request);

  const config::EdgeSettings &Settings_;
  Clock Time_;
  telemetry::EventLog &Log_;
  peers::MemberTable Members_;
  peers::ReaderElection Election_;
  std::array<SyncedCollection, 2> Collections_;
  std::function<void()> ReadStoreNow_;
  std::function<void(TimePoint)> OnStoreRecovered_;
  std::function<std::vector<placement::Suspect>()> TakeSuspects_;
  std::function<void(const placement::Suspect &, Endpoint)> ReportSuspect_;
  std::optional<TimePoint> StoreRecoveredAt_;
  TimePoint StartedAt_{};
  TimePoint NextGossip_{};
  net::UdpSocket Socket_;
  boost::asio::posix::stream_descriptor Readable_;
  boost::asio::steady_timer TickTimer_;
  net::HttpServer Listener_;
  net::HttpClient HttpClient_;
  std::string LastReason_;
  telemetry::Counter &Sent_;
  telemetry::Counter &Received_;
  telemetry::Counter &Malformed_;
  telemetry::Counter &Pulls_;
  telemetry::Counter &FailedPulls_;
  telemetry::Gauge &MembersGauge_;
  telemetry::Gauge &ReaderGauge_;
};

} // namespace medlarmoor::edge

#endif // MEDLARMOOR_EDGE_PEER_SYNC_HPP
