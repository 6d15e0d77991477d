#ifndef MEDLARMOOR_EDGE_PEER_SYNC_HPP
#define MEDLARMOOR_EDGE_PEER_SYNC_HPP

#include <medlarmoor/config/edge_settings.hpp>
#include <medlarmoor/core/clock.hpp>
#include <medlarmoor/core/random.hpp>
#include <medlarmoor/discovery/evacuations.hpp>
#include <medlarmoor/discovery/upstream_changes.hpp>
#include <medlarmoor/edge/snapshot.hpp>
#include <medlarmoor/net/http_client.hpp>
#include <medlarmoor/net/http_server.hpp>
#include <medlarmoor/net/udp_socket.hpp>
#include <medlarmoor/objects/follower.hpp>
#include <medlarmoor/peers/shared_reading.hpp>
#include <medlarmoor/routing/router.hpp>
#include <medlarmoor/telemetry/event_log.hpp>
#include <medlarmoor/telemetry/log_budget.hpp>
#include <medlarmoor/telemetry/registry.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <optional>
#include <set>
#include <string>
#include <unordered_set>
#include <vector>

namespace medlarmoor::edge {

/// Carries out what SharedReading decides: sends and receives announcements,
/// pulls changes from peers and serves them.
class PeerSync {
public:
  /// Connects the synchronization to the evacuations of this instance.
  struct EvacuationBindings {
    objects::Follower &Follower_;
    const discovery::Evacuations &Domains_;
    /// Applies a peer's changes. It is called after the follower has adopted
    /// the revision.
    std::function<void(const discovery::EvacuationChanges &)> Apply_;
  };

  /// Connects the synchronization to the followers, the catalog and the router
  /// of this instance.
  struct Bindings {
    objects::Follower &Upstreams_;
    objects::Follower &Routes_;
    /// Returns the changes of the upstreams after a revision.
    std::function<discovery::UpstreamChanges(StoreRevision)> UpstreamsSince_;
    /// The routes, whose changes are exchanged by their versions.
    const routing::Router &Router_;
    /// Apply a peer's changes. They are called after the follower has adopted
    /// the revision.
    std::function<void(discovery::UpstreamChanges)> ApplyUpstreams_;
    std::function<void(const routing::RouteChanges &)> ApplyRoutes_;
    /// Called when the store has recovered from an outage, with the time of the
    /// recovery.
    std::function<void(TimePoint)> OnStoreRecovered_;
    /// Returns what to report to peers about upstreams since the last call.
    std::function<placement::UpstreamReports()> TakeReports_;
    /// Receives the reports of a peer, given by its gossip endpoint.
    std::function<void(const placement::UpstreamReports &, Endpoint)>
        OnReports_;
    /// Samples the own load and returns what to report to peers about it.
    std::function<std::vector<placement::UpstreamLoad>(TimePoint)> SampleLoad_ =
        {};
    /// Receives the load that a peer, given by its gossip endpoint, reports.
    std::function<void(Endpoint, std::vector<placement::UpstreamLoad>,
                       TimePoint)>
        OnLoad_ = {};
    /// No value if this instance does not read evacuations.
    std::optional<EvacuationBindings> Evacuations_{};
  };

  PeerSync(boost::asio::io_context &Io, const config::EdgeSettings &Settings,
           peers::FreshnessTiming Timing, Bindings Owner, Random RandomSource,
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
    SharedReading_.setSeeds(std::move(Seeds));
  }
  /// Passes on what this instance has read from the store since the last call.
  void spread();
  /// Handles the announcements that have arrived, at most ten times a second.
  /// To be called often: the time since the previous check counts as part of
  /// the age of announced data.
  void poll();
  /// Returns the other instances that are known, in a fixed order.
  [[nodiscard]] std::vector<placement::FleetMember> fleet() const {
    return SharedReading_.fleet();
  }
  /// Records that this instance saw the store recover from an outage.
  void storeRecovered(TimePoint Now) { recordStoreRecovery(Now); }

private:
  /// A collection that is exchanged with peers.
  struct SyncedCollection {
    const char *Path_;
    /// Returns the position since which changes are requested, as text; empty
    /// for a full snapshot.
    std::function<std::string()> Since_;
    /// Returns the encoded changes since a peer's position, or no value if its
    /// text is not valid.
    std::function<std::optional<std::string>(const peers::CollectionState &,
                                             const std::string &)>
        Encode_;
    /// Applies the encoded answer to a request that was sent at a time. Returns
    /// false if the text is not valid or does not apply to the own data.
    std::function<bool(const std::string &, TimePoint)> Apply_;
    /// A pull from a peer is in flight.
    bool Pulling_ = false;
  };

  /// Returns the collections in the order of the indices of SharedReading.
  [[nodiscard]] std::vector<SyncedCollection> makeCollections();
  [[nodiscard]] SyncedCollection makeUpstreams();
  [[nodiscard]] SyncedCollection makeRoutes();
  [[nodiscard]] SyncedCollection makeEvacuations();
  [[nodiscard]] static peers::SharedReading::Followers
  followers(const Bindings &Owner);
  /// Logs once when a peer begins to send a field that cannot be decoded.
  void recordMalformedField(const peers::Announcement &Message);
  /// Records that a peer sent all changes up to Received. Returns false if the
  /// changes must be ignored.
  bool adopt(std::size_t Collection, const peers::CollectionState &Received,
             TimePoint RequestedAt);
  /// Records that this instance or a peer saw the store recover at
  /// RecoveredAt.
  void recordStoreRecovery(TimePoint RecoveredAt);
  void perform(const peers::SyncActions &Actions);
  void tick();
  void receiveDatagrams();
  /// Handles the load that a peer reports.
  void receiveLoad(const peers::Announcement &Message, TimePoint Now);
  void updateReaderRole(TimePoint Now);
  void waitForDatagrams();
  /// Fetches from a peer the changes since this instance's revision.
  void pull(const peers::PullChanges &Request);
  /// Serves a snapshot to a peer.
  net::HttpResponse serveSnapshot(const net::HttpRequest &Request);

  const config::EdgeSettings &Settings_;
  Clock Time_;
  telemetry::EventLog &Log_;
  peers::SharedReading SharedReading_;
  Bindings Owner_;
  std::vector<SyncedCollection> Collections_;
  /// The socket held no datagram at this time.
  TimePoint DrainedAt_{};
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
  telemetry::Counter &LoadsSent_;
  telemetry::Counter &LoadsReceived_;
  telemetry::Counter &LoadsMalformed_;
  telemetry::LogBudget PulledLines_;
  /// Peers whose last announcement had a field that cannot be decoded.
  std::unordered_set<Endpoint> MalformedPeers_;
  telemetry::LogBudget MalformedLines_;
  /// Peers whose last load could not be read.
  std::set<Endpoint> MalformedLoads_;
};

} // namespace medlarmoor::edge

#endif // MEDLARMOOR_EDGE_PEER_SYNC_HPP
