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

/// How often a reader tells the others that it is current. Several fit into
/// the silence after which they read themselves.
constexpr Millis AnnounceInterval{250};
/// How often an instance gossips with a few others.
constexpr Millis GossipInterval{1000};
/// With more members than this, one reads for each failure domain, so that a
/// reader's announcements stay bounded.
constexpr std::size_t LargestScope = 64;
/// An instance that starts asks peers when the store has not answered by then.
constexpr Millis FirstListPatience{150};
/// How long a pull from a peer may take.
constexpr Millis PullTimeout{400};
/// A return of the store is told of for this long.
constexpr Millis ReturnNews{5000};
constexpr std::size_t DatagramBytes = 4096;

std::optional<std::uint64_t>
readRevision(const std::optional<std::string> &Text) {
  std::uint64_t Out = 0;
  if (!Text)
    return std::nullopt;
  const char *Last = Text->data() + Text->size();
  const auto [End, Error] = std::from_chars(Text->data(), Last, Out);
  if (Error != std::errc() || End != Last)
    return std::nullopt;
  return Out;
}

} // namespace

PeerSync::PeerSync(boost::asio::io_context &Io,
                   const config::EdgeSettings &Settings,
                   peers::ElectionTiming Timing, Source Data, Random Generator,
                   Clock Time, telemetry::Registry &Metrics,
                   telemetry::EventLog &Log)
    : Settings_(Settings), Time_(std::move(Time)), Log_(Log),
      Members_(Settings.Gossip_, Settings.gossipSeeds(), Generator),
      Election_(Settings.Gossip_, Timing),
      Channels_{
          Channel{"/snapshot/upstreams", Data.Upstreams_,
                  [Since = Data.UpstreamsSince_](const CollectionState &State,
                                                 std::uint64_t Revision) {
                    return encode(Snapshot<discovery::UpstreamChanges>{
                        State, Since(Revision)});
                  },
                  [this, Take = Data.TakeUpstreams_](const std::string &Text) {
                    return adopt(Channels_[0], readUpstreamChanges(Text), Take);
                  }},
          Channel{"/snapshot/routes", Data.Routes_,
                  [Since = Data.RoutesSince_](const CollectionState &State,
                                              std::uint64_t Revision) {
                    return encode(Snapshot<routing::RouteChanges>{
                        State, Since(Revision)});
                  },
                  [this, Take = Data.TakeRoutes_](const std::string &Text) {
                    return adopt(Channels_[1], readRouteChanges(Text), Take);
                  }}},
      ReadNow_(std::move(Data.ReadNow_)),
      TellReturn_(std::move(Data.StoreReturned_)),
      NewSuspects_(std::move(Data.NewSuspects_)),
      TakeSuspect_(std::move(Data.TakeSuspect_)), Readable_(Io), Ticks_(Io),
      Door_(Io, Settings.Peers_,
            [this](const net::HttpRequest &Request,
                   const net::HttpReply &Reply) { Reply(answer(Request)); }),
      Http_(Io, Settings.Address_),
      Sent_(Metrics.counter("medlarmoor_peer_datagrams_total",
                            "direction=\"sent\"")),
      Received_(Metrics.counter("medlarmoor_peer_datagrams_total",
                                "direction=\"received\"")),
      Malformed_(Metrics.counter("medlarmoor_peer_malformed_total")),
      Pulls_(Metrics.counter("medlarmoor_peer_pulls_total")),
      FailedPulls_(Metrics.counter("medlarmoor_peer_failed_pulls_total")),
      MemberCount_(Metrics.gauge("medlarmoor_peer_members")),
      IsReading_(Metrics.gauge("medlarmoor_store_reader")) {}

PeerSync::~PeerSync() {
  // The socket closes the descriptor.
  if (Readable_.is_open())
    Readable_.release();
}

bool PeerSync::start() {
  if (!Socket_.open(Settings_.Gossip_)) {
    Reason_ = Socket_.lastReason();
    return false;
  }
  if (!Door_.listen()) {
    Reason_ = Door_.lastReason();
    return false;
  }
  Readable_.assign(Socket_.descriptor());
  StartedAt_ = Time_.now();
  wait();
  tick();
  return true;
}

template <typename Changes, typename Take>
bool PeerSync::adopt(Channel &Into, std::optional<Snapshot<Changes>> Read,
                     const Take &Taker) {
  // What was asked for may have come another way meanwhile.
  if (!Read || Read->State_.Upto_ < Into.Follower_.revision())
    return bool(Read);
  // A peer reached the store before this instance did.
  if (Into.Follower_.storeAway(Time_.now()))
    noteReturn(Time_.now());
  Into.Follower_.adopt(Read->State_.Upto_, Read->State_.Changed_,
                       Time_.now() - Read->State_.Age_);
  Taker(std::move(Read->Changes_));
  return true;
}

void PeerSync::announceChange() {
  const TimePoint Now = Time_.now();
  if (reading(Now))
    announce(audience(), Now);
}

void PeerSync::noteReturn(TimePoint When) {
  StoreReturnedAt_ = std::max(StoreReturnedAt_.value_or(When), When);
  TellReturn_(When);
}

bool PeerSync::reading(TimePoint Now) const {
  for (const Channel &Each : Channels_)
    if (Each.Follower_.deferring(Now) || !Election_.current(state(Each, Now)))
      return false;
  return true;
}

std::optional<CollectionState> PeerSync::state(const Channel &Each,
                                               TimePoint Now) const {
  const auto AsOf = Each.Follower_.currentAsOf();
  if (!AsOf)
    return std::nullopt;
  return CollectionState{Each.Follower_.revision(), Each.Follower_.changed(),
                         std::chrono::duration_cast<Millis>(Now - *AsOf)};
}

Announcement PeerSync::announcement(TimePoint Now) {
  Announcement Out;
  Out.From_ = Settings_.Gossip_;
  Out.Domain_ = Settings_.Domain_;
  Out.Reading_ = reading(Now);
  Out.Upstreams_ = state(Channels_[0], Now);
  Out.Routes_ = state(Channels_[1], Now);
  if (StoreReturnedAt_ && Now - *StoreReturnedAt_ < ReturnNews)
    Out.StoreReturned_ =
        std::chrono::duration_cast<Millis>(Now - *StoreReturnedAt_);
  return Out;
}

std::vector<Endpoint> PeerSync::audience() const {
  return Members_.size() <= LargestScope ? Members_.all()
                                         : Members_.inDomain(Settings_.Domain_);
}

bool PeerSync::inScope(const Announcement &From) const {
  return Members_.size() <= LargestScope || From.Domain_ == Settings_.Domain_;
}

void PeerSync::announce(const std::vector<Endpoint> &To, TimePoint Now) {
  send(To, announcement(Now));
}

void PeerSync::gossip(const std::vector<Endpoint> &To, TimePoint Now) {
  Announcement Out = announcement(Now);
  Out.Members_ = Members_.sample(Now);
  send(To, Out);
}

void PeerSync::send(const std::vector<Endpoint> &To, const Announcement &What) {
  const std::vector<std::byte> Bytes = encode(What);
  for (const Endpoint Each : To)
    if (Socket_.send(Each, Bytes))
      Sent_.add();
}

void PeerSync::tick() {
  const TimePoint Now = Time_.now();
  for (const Endpoint Each : Members_.expire(Now))
    Log_.info("peer_lost",
              {{"peer", Each.text()}, {"members", Members_.size()}});
  MemberCount_.set(static_cast<std::int64_t>(Members_.size()));
  Announcement News = announcement(Now);
  noteReading(News.Reading_, Now);
  News.Suspects_ = NewSuspects_();
  if (News.Reading_ || !News.Suspects_.empty())
    send(audience(), News);
  if (Now >= NextGossip_) {
    // Until it knows something, an instance asks at each tick.
    const bool Informed = Channels_[0].Follower_.currentAsOf() &&
                          Channels_[1].Follower_.currentAsOf();
    NextGossip_ = Informed ? Now + GossipInterval : Now;
    gossip(Members_.gossipTargets(), Now);
  }
  Ticks_.expires_after(AnnounceInterval);
  Ticks_.async_wait([this](boost::system::error_code Failed) {
    if (!Failed)
      tick();
  });
}

void PeerSync::noteReading(bool Reading, TimePoint Now) {
  if (Reading == (IsReading_.value() != 0))
    return;
  IsReading_.set(Reading ? 1 : 0);
  const auto Age = [&](const Channel &Each) {
    const auto State = state(Each, Now);
    return State ? State->Age_.count() : -1;
  };
  Log_.info("store_reader", {{"reading", Reading ? "yes" : "no"},
                             {"members", Members_.size()},
                             {"rank", Members_.rank()},
                             {"upstreams_age_ms", Age(Channels_[0])},
                             {"routes_age_ms", Age(Channels_[1])}});
}

void PeerSync::wait() {
  Readable_.async_wait(boost::asio::posix::descriptor_base::wait_read,
                       [this](boost::system::error_code Failed) {
                         if (Failed)
                           return;
                         receive();
                         wait();
                       });
}

void PeerSync::receive() {
  std::array<std::byte, DatagramBytes> Buffer;
  while (const auto In = Socket_.receive(Buffer)) {
    Received_.add();
    if (const auto Read = peers::decode(In->Bytes_))
      take(*Read, Time_.now());
    else
      Malformed_.add();
  }
}

void PeerSync::take(const Announcement &From, TimePoint Now) {
  const bool Unknown =
      Members_.heard({From.From_, From.Domain_, Millis(0)}, Now);
  for (const peers::Member &Each : From.Members_)
    Members_.heard(Each, Now);
  if (Unknown) {
    Log_.info("peer_joined", {{"peer", From.From_.text()},
                              {"domain", From.Domain_.value()},
                              {"members", Members_.size()}});
    // An instance that has just started learns the members and who has what.
    gossip({From.From_}, Now);
  }
  for (const placement::Suspect &Each : From.Suspects_)
    TakeSuspect_(Each, From.From_);
  if (From.StoreReturned_)
    noteReturn(Now - *From.StoreReturned_);
  const bool Trusted = inScope(From) && Election_.trusts(From, reading(Now));
  compare(Channels_[0], From.Upstreams_, From, Trusted, Now);
  compare(Channels_[1], From.Routes_, From, Trusted, Now);
}

void PeerSync::compare(Channel &Each,
                       const std::optional<CollectionState> &Announced,
                       const Announcement &From, bool Trusted, TimePoint Now) {
  if (!Announced)
    return;
  objects::Follower &Own = Each.Follower_;
  // The first list comes from the store: when all start at once, whole
  // collections from a few peers would choke these.
  if (!Own.currentAsOf() &&
      (Own.answered() || Now - StartedAt_ < FirstListPatience))
    return;
  if (!Own.currentAsOf() || Announced->Changed_ > Own.revision())
    return pull(Each, {From.From_.address(), Settings_.Peers_.port()});
  // A peer that is behind is not relied on.
  if (Trusted && Announced->Upto_ >= Own.changed())
    Own.defer(Announced->Upto_, Now - Announced->Age_,
              Election_.deferUntil(Now, Members_.rank()));
}

void PeerSync::pull(Channel &Each, Endpoint From) {
  if (Each.Pulling_)
    return;
  Each.Pulling_ = true;
  Pulls_.add();
  net::HttpRequest Request;
  const std::uint64_t Since =
      Each.Follower_.currentAsOf() ? Each.Follower_.revision() : 0;
  Request.Target_ = std::string(Each.Path_) + "?since=" + std::to_string(Since);
  Http_.send(From, std::move(Request), PullTimeout,
             [this, &Each, From](std::optional<net::HttpResponse> Answer,
                                 const std::string &Reason) {
               constexpr unsigned Ok = 200;
               Each.Pulling_ = false;
               if (Answer && Answer->Status_ == Ok && Each.Take_(Answer->Body_))
                 return;
               FailedPulls_.add();
               Each.Follower_.stopDeferring();
               ReadNow_();
               Log_.warn("pull_failed",
                         {{"peer", From.text()},
                          {"collection", Each.Path_},
                          {"status", Answer ? Answer->Status_ : 0},
                          {"reason", Reason}});
             });
}

net::HttpResponse PeerSync::answer(const net::HttpRequest &Request) {
  constexpr unsigned BadRequest = 400;
  constexpr unsigned NotFound = 404;
  constexpr unsigned Unavailable = 503;
  net::HttpResponse Out = net::jsonPage("");
  for (const Channel &Each : Channels_) {
    if (Request.path() != Each.Path_)
      continue;
    const auto State = state(Each, Time_.now());
    const auto Since = readRevision(Request.query("since"));
    if (!State)
      Out.Status_ = Unavailable;
    else if (!Since)
      Out.Status_ = BadRequest;
    else
      Out.Body_ = Each.Encode_(*State, *Since);
    return Out;
  }
  Out.Status_ = NotFound;
  return Out;
}

} // namespace medlarmoor::edge
