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

/// Tells other instances what this one has read from the store, and takes from
/// them what it has not, so that few instances read for all.
class PeerSync {
public:
  /// What is passed on and where it goes.
  struct Source {
    objects::Follower &Upstreams_;
    objects::Follower &Routes_;
    /// What changed after a revision.
    std::function<discovery::UpstreamChanges(std::uint64_t)> UpstreamsSince_;
    std::function<routing::RouteChanges(std::uint64_t)> RoutesSince_;
    /// Puts a peer's changes in force; the follower has adopted them.
    std::function<void(discovery::UpstreamChanges)> TakeUpstreams_;
    std::function<void(const routing::RouteChanges &)> TakeRoutes_;
    /// Peers could not give a change: the store must.
    std::function<void()> ReadNow_;
    /// The store came back from an outage at that moment.
    std::function<void(TimePoint)> StoreReturned_;
    /// Upstreams where this instance's requests have begun to fail.
    std::function<std::vector<placement::Suspect>()> NewSuspects_;
    /// A peer's requests have begun to fail at an upstream.
    std::function<void(const placement::Suspect &, Endpoint)> TakeSuspect_;
  };

  PeerSync(boost::asio::io_context &Io, const config::EdgeSettings &Settings,
           peers::ElectionTiming Timing, Source Data, Random Generator,
           Clock Time, telemetry::Registry &Metrics, telemetry::EventLog &Log);
  ~PeerSync();
  PeerSync(const PeerSync &) = delete;
  PeerSync &operator=(const PeerSync &) = delete;

  /// Binds the addresses and begins to gossip; false with lastReason().
  [[nodiscard]] bool start();
  [[nodiscard]] const std::string &lastReason() const noexcept {
    return Reason_;
  }

  /// Replaces the seeds.
  void setSeeds(std::vector<Endpoint> Seeds) {
    Members_.setSeeds(std::move(Seeds));
  }
  /// This instance has read a change itself: tells the others at once.
  void announceChange();
  /// The store came back from an outage, as this instance saw it.
  void storeReturned(TimePoint Now) { noteReturn(Now); }

private:
  /// One collection as it is exchanged.
  struct Channel {
    const char *Path_;
    objects::Follower &Follower_;
    /// The text of what changed after a revision.
    std::function<std::string(const peers::CollectionState &, std::uint64_t)>
        Encode_;
    /// Takes such a text; false when it is none.
    std::function<bool(const std::string &)> Take_;
    bool Pulling_ = false;
  };

  /// Puts in force what a peer gave; false when that was nothing.
  template <typename Changes, typename Take>
  bool adopt(Channel &Into, std::optional<Snapshot<Changes>> Read,
             const Take &Taker);
  /// The store came back at When, as this instance or a peer saw it.
  void noteReturn(TimePoint When);
  [[nodiscard]] bool reading(TimePoint Now) const;
  [[nodiscard]] std::optional<peers::CollectionState>
  state(const Channel &Each, TimePoint Now) const;
  [[nodiscard]] peers::Announcement announcement(TimePoint Now);
  [[nodiscard]] std::vector<Endpoint> audience() const;
  [[nodiscard]] bool inScope(const peers::Announcement &From) const;
  /// Tells how current this instance is.
  void announce(const std::vector<Endpoint> &To, TimePoint Now);
  /// Tells that and whom it knows.
  void gossip(const std::vector<Endpoint> &To, TimePoint Now);
  void send(const std::vector<Endpoint> &To, const peers::Announcement &What);
  void tick();
  void noteReading(bool Reading, TimePoint Now);
  void wait();
  void receive();
  void take(const peers::Announcement &From, TimePoint Now);
  void compare(Channel &Each,
               const std::optional<peers::CollectionState> &Announced,
               const peers::Announcement &From, bool Trusted, TimePoint Now);
  void pull(Channel &Each, Endpoint From);
  net::HttpResponse answer(const net::HttpRequest &Request);

  const config::EdgeSettings &Settings_;
  Clock Time_;
  telemetry::EventLog &Log_;
  peers::MemberTable Members_;
  peers::ReaderElection Election_;
  std::array<Channel, 2> Channels_;
  std::function<void()> ReadNow_;
  std::function<void(TimePoint)> TellReturn_;
  std::function<std::vector<placement::Suspect>()> NewSuspects_;
  std::function<void(const placement::Suspect &, Endpoint)> TakeSuspect_;
  std::optional<TimePoint> StoreReturnedAt_;
  TimePoint StartedAt_{};
  TimePoint NextGossip_{};
  net::UdpSocket Socket_;
  boost::asio::posix::stream_descriptor Readable_;
  boost::asio::steady_timer Ticks_;
  net::HttpServer Door_;
  net::HttpClient Http_;
  std::string Reason_;
  telemetry::Counter &Sent_;
  telemetry::Counter &Received_;
  telemetry::Counter &Malformed_;
  telemetry::Counter &Pulls_;
  telemetry::Counter &FailedPulls_;
  telemetry::Gauge &MemberCount_;
  telemetry::Gauge &IsReading_;
};

} // namespace medlarmoor::edge

#endif // MEDLARMOOR_EDGE_PEER_SYNC_HPP
