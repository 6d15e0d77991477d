#include <medlarmoor/edge/peer_sync.hpp>

#include <medlarmoor/edge/snapshot_codec.hpp>
#include <medlarmoor/net/http_pages.hpp>
#include <medlarmoor/peers/announcement_codec.hpp>

#include <algorithm>
#include <charconv>
#include <utility>

namespace medlarmoor::edge {

using peers::Announcement;
using peers::CollectionState;

namespace {

/// Interval at which a reader announces that it is current. It is several times
/// shorter than the silence after which other instances read themselves.
constexpr Millis AnnounceInterval{250};
/// Interval at which an instance gossips with a few others.
constexpr Millis GossipInterval{1000};
/// Up to this number of members, one reads for all. With more, one reads for
/// each failure domain, which bounds the announcements of a reader.
constexpr std::size_t MaxMembersInSharedScope = 64;
/// A starting instance pulls from peers when the store has not answered within
/// this time.
constexpr Millis FirstListTimeout{150};
/// Time limit of a pull from a peer.
constexpr Millis PullTimeout{400};
/// How long a recovery of the store is announced.
constexpr Millis StoreRecoveryAnnounceTime{5000};
constexpr std::size_t DatagramBytes = 4096;

std::optional<std::uint64_t>
readRevision(const std::optional<std::string> &Text) {
  std::uint64_t Revision = 0;
  if (!Text)
    return std::nullopt;
  const char *Last = Text->data() + Text->size();
  const auto [End, Error] = std::from_chars(Text->data(), Last, Revision);
  if (Error != std::errc() || End != Last)
    return std::nullopt;
  return Revision;
}

} // namespace

PeerSync::PeerSync(boost::asio::io_context &Io,
                   const config::EdgeSettings &Settings,
                   peers::ElectionTiming Timing, Bindings Owner,
                   Random RandomSource, Clock Time,
                   telemetry::Registry &Metrics, telemetry::EventLog &Log)
    : Settings_(Settings), Time_(std::move(Time)), Log_(Log),
      Members_(Settings.Gossip_, Settings.gossipSeeds(), RandomSource),
      Election_(Settings.Gossip_, Timing),
      Collections_{
          SyncedCollection{
              "/snapshot/upstreams", Owner.Upstreams_,
              [Since = Owner.UpstreamsSince_](const CollectionState &State,
                                              std::uint64_t Revision) {
                return encode(Snapshot<discovery::UpstreamChanges>{
                    State, Since(Revision)});
              },
              [this, Apply = Owner.ApplyUpstreams_](const std::string &Text) {
                return applySnapshot(Collections_[0], readUpstreamChanges(Text),
                                     Apply);
              }},
          SyncedCollection{
              "/snapshot/routes", Owner.Routes_,
              [Since = Owner.RoutesSince_](const CollectionState &State,
                                           std::uint64_t Revision) {
                return encode(
                    Snapshot<routing::RouteChanges>{State, Since(Revision)});
              },
              [this, Apply = Owner.ApplyRoutes_](const std::string &Text) {
                return applySnapshot(Collections_[1], readRouteChanges(Text),
                                     Apply);
              }}},
      ReadStoreNow_(std::move(Owner.ReadStoreNow_)),
      OnStoreRecovered_(std::move(Owner.OnStoreRecovered_)),
      TakeSuspects_(std::move(Owner.TakeSuspects_)),
      ReportSuspect_(std::move(Owner.ReportSuspect_)), Readable_(Io),
      TickTimer_(Io), Listener_(Io, Settings.Peers_,
                                [this](const net::HttpRequest &Request,
                                       const net::HttpReply &Reply) {
                                  Reply(serveSnapshot(Request));
                                }),
      HttpClient_(Io, Settings.Address_),
      Sent_(Metrics.counter("medlarmoor_peer_datagrams_total",
                            "direction=\"sent\"")),
      Received_(Metrics.counter("medlarmoor_peer_datagrams_total",
                                "direction=\"received\"")),
      Malformed_(Metrics.counter("medlarmoor_peer_malformed_total")),
      Pulls_(Metrics.counter("medlarmoor_peer_pulls_total")),
      FailedPulls_(Metrics.counter("medlarmoor_peer_failed_pulls_total")),
      MembersGauge_(Metrics.gauge("medlarmoor_peer_members")),
      ReaderGauge_(Metrics.gauge("medlarmoor_store_reader")) {}

PeerSync::~PeerSync() {
  // Socket_ owns the descriptor and closes it.
  if (Readable_.is_open())
    Readable_.release();
}

bool PeerSync::start() {
  if (!Socket_.open(Settings_.Gossip_)) {
    LastReason_ = Socket_.lastReason();
    return false;
  }
  if (!Listener_.listen()) {
    LastReason_ = Listener_.lastReason();
    return false;
  }
  Readable_.assign(Socket_.descriptor());
  StartedAt_ = Time_.now();
  waitForDatagrams();
  tick();
  return true;
}

template <typename Changes, typename Function>
bool PeerSync::applySnapshot(SyncedCollection &Collection,
                             std::optional<Snapshot<Changes>> Received,
                             const Function &Apply) {
  // A newer revision may have arrived by another path while the pull was in
  // flight.
  if (!Received || Received->State_.Revision_ < Collection.Follower_.revision())
    return bool(Received);
  // A peer has reached the store, although this instance's calls still fail.
  if (Collection.Follower_.inOutage(Time_.now()))
    recordStoreRecovery(Time_.now());
  Collection.Follower_.adopt(Received->State_.Revision_,
                             Received->State_.LastChange_,
                             Time_.now() - Received->State_.Age_);
  Apply(std::move(Received->Changes_));
  return true;
}

void PeerSync::announceChange() {
  const TimePoint Now = Time_.now();
  if (isReader(Now))
    announce(announceTargets(), Now);
}

void PeerSync::recordStoreRecovery(TimePoint RecoveredAt) {
  StoreRecoveredAt_ =
      std::max(StoreRecoveredAt_.value_or(RecoveredAt), RecoveredAt);
  OnStoreRecovered_(RecoveredAt);
}

bool PeerSync::isReader(TimePoint Now) const {
  for (const SyncedCollection &Collection : Collections_)
    if (Collection.Follower_.deferring(Now) ||
        !Election_.isCurrent(state(Collection, Now)))
      return false;
  return true;
}

std::optional<CollectionState>
PeerSync::state(const SyncedCollection &Collection, TimePoint Now) const {
  const auto AsOf = Collection.Follower_.currentAsOf();
  if (!AsOf)
    return std::nullopt;
  return CollectionState{Collection.Follower_.revision(),
                         Collection.Follower_.lastChange(),
                         std::chrono::duration_cast<Millis>(Now - *AsOf)};
}

Announcement PeerSync::makeAnnouncement(TimePoint Now) {
  Announcement Message;
  Message.From_ = Settings_.Gossip_;
  Message.Domain_ = Settings_.Domain_;
  Message.IsReader_ = isReader(Now);
  Message.Upstreams_ = state(Collections_[0], Now);
  Message.Routes_ = state(Collections_[1], Now);
  if (StoreRecoveredAt_ && Now - *StoreRecoveredAt_ < StoreRecoveryAnnounceTime)
    Message.StoreRecovered_ =
        std::chrono::duration_cast<Millis>(Now - *StoreRecoveredAt_);
  return Message;
}

std::vector<Endpoint> PeerSync::announceTargets() const {
  return Members_.size() <= MaxMembersInSharedScope
             ? Members_.all()
             : Members_.inDomain(Settings_.Domain_);
}

bool PeerSync::inScope(const Announcement &Message) const {
  return Members_.size() <= MaxMembersInSharedScope ||
         Message.Domain_ == Settings_.Domain_;
}

void PeerSync::announce(const std::vector<Endpoint> &Targets, TimePoint Now) {
  send(Targets, makeAnnouncement(Now));
}

void PeerSync::gossip(const std::vector<Endpoint> &Targets, TimePoint Now) {
  Announcement Message = makeAnnouncement(Now);
  Message.Members_ = Members_.sample(Now);
  send(Targets, Message);
}

void PeerSync::send(const std::vector<Endpoint> &Targets,
                    const Announcement &Message) {
  const std::vector<std::byte> Bytes = encode(Message);
  for (const Endpoint Target : Targets)
    if (Socket_.send(Target, Bytes))
      Sent_.add();
}

void PeerSync::tick() {
  const TimePoint Now = Time_.now();
  for (const Endpoint Lost : Members_.expire(Now))
    Log_.info("peer_lost",
              {{"peer", Lost.text()}, {"members", Members_.size()}});
  MembersGauge_.set(static_cast<std::int64_t>(Members_.size()));
  Announcement Message = makeAnnouncement(Now);
  updateReaderRole(Message.IsReader_, Now);
  Message.Suspects_ = TakeSuspects_();
  if (Message.IsReader_ || !Message.Suspects_.empty())
    send(announceTargets(), Message);
  if (Now >= NextGossip_) {
    // Until both collections are loaded, an instance gossips at each tick.
    const bool Loaded = Collections_[0].Follower_.currentAsOf() &&
                        Collections_[1].Follower_.currentAsOf();
    NextGossip_ = Loaded ? Now + GossipInterval : Now;
    gossip(Members_.gossipTargets(), Now);
  }
  TickTimer_.expires_after(AnnounceInterval);
  TickTimer_.async_wait([this](boost::system::error_code Error) {
    if (!Error)
      tick();
  });
}

void PeerSync::updateReaderRole(bool IsReader, TimePoint Now) {
  if (IsReader == (ReaderGauge_.value() != 0))
    return;
  ReaderGauge_.set(IsReader ? 1 : 0);
  const auto Age = [&](const SyncedCollection &Collection) {
    const auto State = state(Collection, Now);
    return State ? State->Age_.count() : -1;
  };
  Log_.info("store_reader", {{"reading", IsReader ? "yes" : "no"},
                             {"members", Members_.size()},
                             {"rank", Members_.rank()},
                             {"upstreams_age_ms", Age(Collections_[0])},
                             {"routes_age_ms", Age(Collections_[1])}});
}

void PeerSync::waitForDatagrams() {
  Readable_.async_wait(boost::asio::posix::descriptor_base::wait_read,
                       [this](boost::system::error_code Error) {
                         if (Error)
                           return;
                         receiveDatagrams();
                         waitForDatagrams();
                       });
}

void PeerSync::receiveDatagrams() {
  std::array<std::byte, DatagramBytes> Buffer;
  while (const auto Datagram = Socket_.receive(Buffer)) {
    Received_.add();
    if (const auto Decoded = peers::decode(Datagram->Bytes_))
      handleAnnouncement(*Decoded, Time_.now());
    else
      Malformed_.add();
  }
}

void PeerSync::handleAnnouncement(const Announcement &Message, TimePoint Now) {
  const bool IsNewPeer =
      Members_.observe({Message.From_, Message.Domain_, Millis(0)}, Now);
  for (const peers::Member &Sampled : Message.Members_)
    Members_.observe(Sampled, Now);
  if (IsNewPeer) {
    Log_.info("peer_joined", {{"peer", Message.From_.text()},
                              {"domain", Message.Domain_.value()},
                              {"members", Members_.size()}});
    // An instance that has just started learns the members and the revisions.
    gossip({Message.From_}, Now);
  }
  for (const placement::Suspect &Suspect : Message.Suspects_)
    ReportSuspect_(Suspect, Message.From_);
  if (Message.StoreRecovered_)
    recordStoreRecovery(Now - *Message.StoreRecovered_);
  const bool Trusted =
      inScope(Message) && Election_.trusts(Message, isReader(Now));
  compareRevisions(Collections_[0], Message.Upstreams_, Message, Trusted, Now);
  compareRevisions(Collections_[1], Message.Routes_, Message, Trusted, Now);
}

void PeerSync::compareRevisions(SyncedCollection &Collection,
                                const std::optional<CollectionState> &Announced,
                                const Announcement &Message, bool Trusted,
                                TimePoint Now) {
  if (!Announced)
    return;
  objects::Follower &Follower = Collection.Follower_;
  // The first list comes from the store while it answers: when all instances
  // start at once, pulls of complete collections would overload the few peers
  // that have them.
  if (!Follower.currentAsOf() &&
      (Follower.storeAnswers() || Now - StartedAt_ < FirstListTimeout))
    return;
  if (!Follower.currentAsOf() || Announced->LastChange_ > Follower.revision())
    return pull(Collection, {Message.From_.address(), Settings_.Peers_.port()});
  // A peer that is behind this instance is not relied on.
  if (Trusted && Announced->Revision_ >= Follower.lastChange())
    Follower.defer(Announced->Revision_, Now - Announced->Age_,
                   Election_.deferUntil(Now, Members_.rank()));
}

void PeerSync::pull(SyncedCollection &Collection, Endpoint Peer) {
  if (Collection.Pulling_)
    return;
  Collection.Pulling_ = true;
  Pulls_.add();
  net::HttpRequest Request;
  const std::uint64_t Since =
      Collection.Follower_.currentAsOf() ? Collection.Follower_.revision() : 0;
  Request.Target_ =
      std::string(Collection.Path_) + "?since=" + std::to_string(Since);
  HttpClient_.send(
      Peer, std::move(Request), PullTimeout,
      [this, &Collection, Peer](std::optional<net::HttpResponse> Answer,
                                const std::string &Reason) {
        constexpr unsigned Ok = 200;
        Collection.Pulling_ = false;
        if (Answer && Answer->Status_ == Ok && Collection.Apply_(Answer->Body_))
          return;
        FailedPulls_.add();
        Collection.Follower_.stopDeferring();
        ReadStoreNow_();
        Log_.warn("pull_failed", {{"peer", Peer.text()},
                                  {"collection", Collection.Path_},
                                  {"status", Answer ? Answer->Status_ : 0},
                                  {"reason", Reason}});
      });
}

net::HttpResponse PeerSync::serveSnapshot(const net::HttpRequest &Request) {
  constexpr unsigned BadRequest = 400;
  constexpr unsigned NotFound = 404;
  constexpr unsigned Unavailable = 503;
  net::HttpResponse Response = net::jsonPage("");
  for (const SyncedCollection &Collection : Collections_) {
    if (Request.path() != Collection.Path_)
      continue;
    const auto State = state(Collection, Time_.now());
    const auto Since = readRevision(Request.query("since"));
    if (!State)
      Response.Status_ = Unavailable;
    else if (!Since)
      Response.Status_ = BadRequest;
    else
      Response.Body_ = Collection.Encode_(*State, *Since);
    return Response;
  }
  Response.Status_ = NotFound;
  return Response;
}

} // namespace medlarmoor::edge
