#include <medlarmoor/edge/peer_sync.hpp>

#include <medlarmoor/edge/snapshot_codec.hpp>
#include <medlarmoor/net/http_pages.hpp>
#include <medlarmoor/peers/announcement_codec.hpp>

#include <algorithm>
#include <charconv>
#include <string_view>
#include <utility>

namespace medlarmoor::edge {

using peers::Announcement;
using peers::CollectionState;

namespace {

/// Interval of the checks for datagrams, for outdated data and for suspects to
/// report.
constexpr Millis TickInterval{100};
/// Minimum interval of the checks for datagrams between two ticks.
constexpr Millis PollInterval{50};
/// To how many instances news are passed on.
constexpr peers::RandomFanout SpreadFanout{.Local_ = 2, .Any_ = 1};
/// Time limit of a pull from a peer.
constexpr Millis PullTimeout{400};
constexpr std::size_t DatagramBytes = 4096;
/// Maximum number of lines a second about changes that were pulled.
constexpr std::uint32_t PulledPerSecond = 5;
/// Bounds the memory for peers with malformed fields; no fleet is larger.
constexpr std::size_t MaxMalformedPeers = 512;
/// Maximum number of lines a second about malformed loads.
constexpr std::uint32_t MalformedPerSecond = 1;
/// Maximum number of peers that are remembered as senders of malformed loads.
/// It bounds the memory if datagrams have forged senders.
constexpr std::size_t MaxMalformedLoads = 256;

std::optional<std::uint64_t> readNumber(std::string_view Text) {
  std::uint64_t Number = 0;
  const char *Last = Text.data() + Text.size();
  const auto [End, Error] = std::from_chars(Text.data(), Last, Number);
  if (Error != std::errc() || End != Last)
    return std::nullopt;
  return Number;
}

std::string text(StoreRevision Revision) {
  return std::to_string(Revision.Epoch_.value()) + "." +
         std::to_string(Revision.Number_);
}

std::optional<StoreRevision> readRevision(std::string_view Text) {
  const std::size_t Dot = Text.find('.');
  if (Dot == std::string_view::npos)
    return std::nullopt;
  const auto Epoch = readNumber(Text.substr(0, Dot));
  const auto Number = readNumber(Text.substr(Dot + 1));
  if (!Epoch || !Number)
    return std::nullopt;
  return StoreRevision{StoreEpoch(*Epoch), *Number};
}

} // namespace

PeerSync::PeerSync(boost::asio::io_context &Io,
                   const config::EdgeSettings &Settings,
                   peers::FreshnessTiming Timing, Bindings Owner,
                   Random RandomSource, Clock Time,
                   telemetry::Registry &Metrics, telemetry::EventLog &Log)
    : Settings_(Settings), Time_(std::move(Time)), Log_(Log),
      SharedReading_(Settings.Gossip_, Settings.Domain_, Settings.gossipSeeds(),
                     followers(Owner), Owner.Router_, Timing, SpreadFanout,
                     RandomSource),
      Owner_(std::move(Owner)), Collections_(makeCollections()), Readable_(Io),
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
      ReaderGauge_(Metrics.gauge("medlarmoor_store_reader")),
      LoadsSent_(Metrics.counter("medlarmoor_admission_reports_total",
                                 "direction=\"sent\"")),
      LoadsReceived_(Metrics.counter("medlarmoor_admission_reports_total",
                                     "direction=\"received\"")),
      LoadsMalformed_(
          Metrics.counter("medlarmoor_admission_malformed_reports_total")),
      PulledLines_(PulledPerSecond), MalformedLines_(MalformedPerSecond) {}

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
  DrainedAt_ = Time_.now();
  SharedReading_.start(DrainedAt_);
  waitForDatagrams();
  tick();
  return true;
}

peers::SharedReading::Followers PeerSync::followers(const Bindings &Owner) {
  peers::SharedReading::Followers Collections{&Owner.Upstreams_,
                                              &Owner.Routes_};
  if (Owner.Evacuations_)
    Collections.push_back(&Owner.Evacuations_->Follower_);
  return Collections;
}

std::vector<PeerSync::SyncedCollection> PeerSync::makeCollections() {
  std::vector<SyncedCollection> Collections;
  Collections.push_back(makeUpstreams());
  Collections.push_back(makeRoutes());
  if (Owner_.Evacuations_)
    Collections.push_back(makeEvacuations());
  return Collections;
}

PeerSync::SyncedCollection PeerSync::makeUpstreams() {
  return {"/snapshot/upstreams",
          [this] {
            return Owner_.Upstreams_.currentAsOf()
                       ? text(Owner_.Upstreams_.revision())
                       : std::string();
          },
          [this](const CollectionState &State,
                 const std::string &Since) -> std::optional<std::string> {
            const auto Revision =
                Since.empty() ? StoreRevision() : readRevision(Since);
            if (!Revision)
              return std::nullopt;
            return encode(Snapshot<discovery::UpstreamChanges>{
                State, Owner_.UpstreamsSince_(*Revision)});
          },
          [this](const std::string &Text, TimePoint RequestedAt) {
            auto Received = readUpstreamChanges(Text);
            if (Received && adopt(peers::SharedReading::Upstreams,
                                  Received->State_, RequestedAt))
              Owner_.ApplyUpstreams_(std::move(Received->Changes_));
            return bool(Received);
          }};
}

PeerSync::SyncedCollection PeerSync::makeRoutes() {
  return {"/snapshot/routes",
          [this] {
            return Owner_.Router_.ready()
                       ? std::to_string(Owner_.Router_.table().Version_.value())
                       : std::string();
          },
          [this](const CollectionState &State,
                 const std::string &Since) -> std::optional<std::string> {
            const auto Version = readNumber(Since);
            if (!Version && !Since.empty())
              return std::nullopt;
            return encode(Snapshot<routing::RouteChanges>{
                State, Owner_.Router_.changesSince(
                           Version ? std::optional(ConfigVersion(*Version))
                                   : std::nullopt)});
          },
          [this](const std::string &Text, TimePoint RequestedAt) {
            const auto Received = readRouteChanges(Text);
            if (!Received || !Owner_.Router_.canMerge(Received->Changes_))
              return false;
            const bool Adopted = adopt(peers::SharedReading::Routes,
                                       Received->State_, RequestedAt);
            if (Adopted ||
                Received->Changes_.Version_ > Owner_.Router_.table().Version_)
              Owner_.ApplyRoutes_(Received->Changes_);
            return true;
          }};
}

PeerSync::SyncedCollection PeerSync::makeEvacuations() {
  return {"/snapshot/evacuations",
          [this] {
            const objects::Follower &Own = Owner_.Evacuations_->Follower_;
            return Own.currentAsOf() ? text(Own.revision()) : std::string();
          },
          [this](const CollectionState &State,
                 const std::string &Since) -> std::optional<std::string> {
            const auto Revision =
                Since.empty() ? StoreRevision() : readRevision(Since);
            if (!Revision)
              return std::nullopt;
            return encode(Snapshot<discovery::EvacuationChanges>{
                State, Owner_.Evacuations_->Domains_.changesSince(*Revision)});
          },
          [this](const std::string &Text, TimePoint RequestedAt) {
            const auto Received = readEvacuationChanges(Text);
            if (Received && adopt(peers::SharedReading::Evacuations,
                                  Received->State_, RequestedAt))
              Owner_.Evacuations_->Apply_(Received->Changes_);
            return bool(Received);
          }};
}

bool PeerSync::adopt(std::size_t Collection, const CollectionState &Received,
                     TimePoint RequestedAt) {
  const TimePoint Now = Time_.now();
  const StoreRevision Previous = followers(Owner_)[Collection]->revision();
  const peers::Adoption Result =
      SharedReading_.adopt(Collection, Received, RequestedAt, Now);
  if (PulledLines_.take(Now))
    Log_.info("changes_pulled", {{"collection", Collections_[Collection].Path_},
                                 {"adopted", Result.Adopted_ ? "yes" : "no"},
                                 {"previous", text(Previous)},
                                 {"revision", text(Received.Revision_)},
                                 {"last_change", text(Received.LastChange_)},
                                 {"age_ms", Received.Age_.count()},
                                 {"reader", Received.Reader_.text()}});
  if (Result.StoreRecovered_)
    Owner_.OnStoreRecovered_(Now);
  return Result.Adopted_;
}

void PeerSync::spread() { perform(SharedReading_.spread(Time_.now())); }

void PeerSync::recordStoreRecovery(TimePoint RecoveredAt) {
  SharedReading_.recordStoreRecovery(RecoveredAt);
  Owner_.OnStoreRecovered_(RecoveredAt);
}

void PeerSync::perform(const peers::SyncActions &Actions) {
  if (Actions.StoreRecoveredAt_)
    Owner_.OnStoreRecovered_(*Actions.StoreRecoveredAt_);
  for (const peers::SendAnnouncement &Send : Actions.Sends_) {
    const std::vector<std::byte> Bytes = encode(Send.Message_);
    for (const Endpoint Target : Send.Targets_)
      if (Socket_.send(Target, Bytes)) {
        Sent_.add();
        LoadsSent_.add(Send.Message_.Load_ ? 1 : 0);
      }
  }
  for (const peers::PullChanges &Request : Actions.Pulls_)
    pull(Request);
}

void PeerSync::tick() {
  receiveDatagrams();
  const TimePoint Now = Time_.now();
  perform(SharedReading_.tick(Owner_.TakeReports_(), Now));
  if (Settings_.AdmissionEnabled_)
    perform(SharedReading_.announceLoad(Owner_.SampleLoad_(Now), Now));
  MembersGauge_.set(static_cast<std::int64_t>(SharedReading_.members()));
  if (const auto Count = PulledLines_.leftOut(Now))
    Log_.info("lines_left_out",
              {{"kind", "changes_pulled"}, {"count", *Count}});
  if (const auto Count = MalformedLines_.leftOut(Now))
    Log_.info("lines_left_out",
              {{"kind", "load_report_malformed"}, {"count", *Count}});
  updateReaderRole(Now);
  TickTimer_.expires_after(TickInterval);
  TickTimer_.async_wait([this](boost::system::error_code Error) {
    if (!Error)
      tick();
  });
}

void PeerSync::updateReaderRole(TimePoint Now) {
  const bool Reading = SharedReading_.reading(Now);
  if (Reading == (ReaderGauge_.value() != 0))
    return;
  ReaderGauge_.set(Reading ? 1 : 0);
  const auto Age = [&](std::size_t Collection) {
    const auto State = SharedReading_.state(Collection, Now);
    return State ? State->Age_.count() : -1;
  };
  Log_.info(
      "store_reader",
      {{"reading", Reading ? "yes" : "no"},
       {"members", SharedReading_.members()},
       {"upstreams_age_ms", Age(peers::SharedReading::Upstreams)},
       {"routes_age_ms", Age(peers::SharedReading::Routes)},
       {"evacuations_age_ms",
        Owner_.Evacuations_ ? Age(peers::SharedReading::Evacuations) : -1}});
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

void PeerSync::poll() {
  if (Time_.now() - DrainedAt_ >= PollInterval)
    receiveDatagrams();
}

void PeerSync::receiveDatagrams() {
  std::array<std::byte, DatagramBytes> Buffer;
  const TimePoint ArrivedAfter = DrainedAt_;
  TimePoint Now = Time_.now();
  while (const auto Datagram = Socket_.receive(Buffer)) {
    Received_.add();
    if (const auto Message = peers::decode(Datagram->Bytes_)) {
      recordMalformedField(*Message);
      if (!Message->Reports_.empty())
        Owner_.OnReports_(Message->Reports_, Message->From_);
      perform(SharedReading_.receive(*Message, ArrivedAfter, Now));
      receiveLoad(*Message, Now);
    } else {
      Malformed_.add();
    }
    Now = Time_.now();
  }
  DrainedAt_ = Now;
}

void PeerSync::recordMalformedField(const Announcement &Message) {
  if (!Message.EvacuationsMalformed_) {
    MalformedPeers_.erase(Message.From_);
    return;
  }
  Malformed_.add();
  if (MalformedPeers_.size() < MaxMalformedPeers &&
      MalformedPeers_.insert(Message.From_).second)
    Log_.warn("announcement_field_malformed",
              {{"peer", Message.From_.text()}, {"field", "evacuations"}});
}

void PeerSync::receiveLoad(const Announcement &Message, TimePoint Now) {
  if (!Settings_.AdmissionEnabled_ || Message.From_ == Settings_.Gossip_)
    return;
  if (Message.LoadMalformed_) {
    LoadsMalformed_.add();
    if (MalformedLoads_.size() >= MaxMalformedLoads)
      MalformedLoads_.clear();
    if (MalformedLoads_.insert(Message.From_).second &&
        MalformedLines_.take(Now))
      Log_.warn("load_report_malformed", {{"peer", Message.From_.text()},
                                          {"domain", Message.Domain_.value()}});
  } else if (Message.Load_) {
    LoadsReceived_.add();
    MalformedLoads_.erase(Message.From_);
    Owner_.OnLoad_(Message.From_, *Message.Load_, Now);
  }
}

void PeerSync::pull(const peers::PullChanges &Request) {
  SyncedCollection &Collection = Collections_[Request.Collection_];
  if (Collection.Pulling_)
    return;
  Collection.Pulling_ = true;
  Pulls_.add();
  const Endpoint Peer{Request.Peer_.address(), Settings_.Peers_.port()};
  net::HttpRequest Message;
  Message.Target_ =
      std::string(Collection.Path_) + "?since=" + Collection.Since_();
  HttpClient_.send(
      Peer, std::move(Message), PullTimeout,
      [this, &Collection, Peer, RequestedAt = Time_.now()](
          std::optional<net::HttpResponse> Answer, const std::string &Reason) {
        constexpr unsigned Ok = 200;
        Collection.Pulling_ = false;
        if (Answer && Answer->Status_ == Ok &&
            Collection.Apply_(Answer->Body_, RequestedAt))
          return spread();
        // The next peer that passes the changes on causes another pull. Without
        // one, the data becomes too old and the store is read.
        FailedPulls_.add();
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
  for (std::size_t I = 0; I < Collections_.size(); ++I) {
    const SyncedCollection &Collection = Collections_[I];
    if (Request.path() != Collection.Path_)
      continue;
    const auto State = SharedReading_.state(I, Time_.now());
    if (!State) {
      Response.Status_ = Unavailable;
      return Response;
    }
    const auto Body =
        Collection.Encode_(*State, Request.query("since").value_or(""));
    Response.Status_ = Body ? Response.Status_ : BadRequest;
    Response.Body_ = Body.value_or("");
    return Response;
  }
  Response.Status_ = NotFound;
  return Response;
}

} // namespace medlarmoor::edge
