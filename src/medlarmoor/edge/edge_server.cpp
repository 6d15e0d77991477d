#include <medlarmoor/edge/edge_server.hpp>

#include <medlarmoor/config/read_edge_settings.hpp>
#include <medlarmoor/core/findings.hpp>
#include <medlarmoor/edge/decision_log.hpp>
#include <medlarmoor/edge/evacuation_handler.hpp>
#include <medlarmoor/edge/forwarder.hpp>
#include <medlarmoor/edge/packet_loop.hpp>
#include <medlarmoor/edge/pause_detector.hpp>
#include <medlarmoor/edge/peer_sync.hpp>
#include <medlarmoor/edge/readiness.hpp>
#include <medlarmoor/edge/store_timing.hpp>
#include <medlarmoor/net/http_pages.hpp>
#include <medlarmoor/net/http_server.hpp>
#include <medlarmoor/objects/collection_reader.hpp>
#include <medlarmoor/telemetry/event_log.hpp>
#include <medlarmoor/telemetry/registry.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <utility>
#include <vector>

namespace medlarmoor::edge {

namespace {

/// Interval of the checks for silent flows, expired upstreams and the exit.
constexpr Millis TickInterval{200};
/// Interval at which the settings file is checked for changes that no signal
/// has announced.
constexpr Millis FileCheckInterval{2000};
/// Minimum interval between two computations of the owners: in a failure domain
/// with more instances than an instance remembers, the members that it knows
/// change with each round of gossip.
constexpr Millis OwnerCheckInterval{1000};

Random seededRandom() {
  std::random_device Device;
  return Random((std::uint64_t{Device()} << 32U) | Device());
}

ForwarderOptions forwarderOptions(const config::EdgeSettings &Settings) {
  ForwarderOptions Options;
  Options.Self_ = {Settings.Gossip_, Settings.Domain_};
  if (Settings.AdmissionEnabled_)
    Options.Admission_.emplace();
  if (Settings.WarmUpOverage_ && Settings.WarmUpSlack_)
    Options.WarmUp_ = {*Settings.WarmUpOverage_, *Settings.WarmUpSlack_};
  const std::vector<Endpoint> Seeds = Settings.gossipSeeds();
  Options.Seeds_ =
      Seeds.size() - static_cast<std::size_t>(std::count(
                         Seeds.begin(), Seeds.end(), Settings.Gossip_));
  return Options;
}

} // namespace

class EdgeServer::Impl {
public:
  Impl(config::EdgeSettings Settings, std::string File, PacketCodec Packets,
       StoreCodec Store, Clock Time);

  bool start(Findings &Errors);
  void run() { Io_.run(); }

private:
  using UpstreamReader = objects::CollectionReader<discovery::Upstream>;
  using RouteReader = objects::CollectionReader<routing::RouteTable>;
  using EvacuationReader = objects::CollectionReader<DomainName>;

  /// Returns null if evacuations are not read.
  [[nodiscard]] std::unique_ptr<EvacuationReader>
  makeEvacuationReader(objects::CollectionCodec<DomainName> Codec);
  [[nodiscard]] std::optional<PeerSync::EvacuationBindings>
  evacuationBindings();
  [[nodiscard]] std::function<Millis(TimePoint)> evacuationAge() const;
  void handleEvacuationItems(const EvacuationReader::Items &Items,
                             bool Complete);
  void handleUpstreamItems(UpstreamReader::Items Items, bool Complete);
  void handleRouteItems(RouteReader::Items Items);
  void handleReports(const placement::UpstreamReports &Reports, Endpoint Peer);
  void applyUpstreams(discovery::UpstreamChanges Changes);
  void logListed(const discovery::Upstream &Upstream);
  void mergeRoutes(const routing::RouteChanges &Changes);
  /// Source states where the routes came from: "store" or "peer".
  void logRoutes(bool Adopted, ConfigVersion Offered, const char *Source);
  [[nodiscard]] Freshness freshness() const;
  /// Recomputes the owners of the upstreams if the members or the upstreams
  /// have changed.
  void updateOwners(TimePoint Now);
  /// Returns true if the settings and the routes limit the new flows at cold
  /// upstreams.
  [[nodiscard]] bool limitsColdUpstreams() const {
    return Settings_.WarmUpOverage_ && Settings_.WarmUpSlack_ &&
           !Router_.table().WarmUpRates_.empty();
  }
  void tick();
  void updateGauges(TimePoint Now);
  void checkSettingsFile(TimePoint Now);
  void waitForSignal();
  void stop();
  void reload(const char *Cause);
  net::HttpResponse serveReadiness(const net::HttpRequest &Request) const;
  net::HttpResponse serveMetrics(const net::HttpRequest &Request) const;

  config::EdgeSettings Settings_;
  std::string File_;
  Clock Time_;
  boost::asio::io_context Io_{1};
  telemetry::Registry Metrics_;
  telemetry::EventLog Log_;
  discovery::Catalog Catalog_;
  routing::Router Router_;
  Forwarder Forwarder_;
  Readiness Readiness_;
  PauseDetector Pauses_;
  UpstreamReader UpstreamReader_;
  RouteReader RouteReader_;
  /// Null if evacuations are not read.
  std::unique_ptr<EvacuationReader> EvacuationReader_;
  std::unique_ptr<EvacuationHandler> EvacuationHandler_;
  PeerSync PeerSync_;
  DecisionLog DecisionLog_;
  PacketLoop PacketLoop_;
  net::HttpServer ReadinessListener_;
  net::HttpServer MetricsListener_;
  boost::asio::signal_set Signals_;
  boost::asio::steady_timer TickTimer_;
  TimePoint NextFileCheck_{};
  TimePoint NextOwnerCheck_{};
  /// From which the owners were last computed.
  std::vector<placement::OwnerMap::Location> OwnedUpstreams_;
  std::vector<placement::FleetMember> OwningMembers_;
  std::optional<std::filesystem::file_time_type> FileModifiedAt_;
  telemetry::Gauge &TrackedFlows_;
  telemetry::Gauge &ListedUpstreams_;
  telemetry::Gauge &RouteVersion_;
  telemetry::Gauge &OwnedCount_;
  telemetry::Gauge &PeerLoadAge_;
};

EdgeServer::Impl::Impl(config::EdgeSettings Settings, std::string File,
                       PacketCodec Packets, StoreCodec Store, Clock Time)
    : Settings_(std::move(Settings)), File_(std::move(File)),
      Time_(std::move(Time)), Log_("edge", Settings_.LogLevel_),
      Catalog_({.MaxFlowAge_ = Settings_.MaxFlowAge_},
               Settings_.EvacuateLimit_ ? discovery::EvacuationUse::Required
                                        : discovery::EvacuationUse::Ignored),
      Forwarder_(Catalog_, Router_,
                 {Settings_.Domain_, placement::LeastLoaded{}, seededRandom(),
                  Settings_.AdmissionEnabled_
                      ? std::optional(placement::ConcurrencyLimit{})
                      : std::nullopt},
                 {}, forwarderOptions(Settings_)),
      Readiness_(Settings_.GracePeriod_),
      UpstreamReader_(
          "upstreams", Io_, Settings_.Store_, Settings_.Address_,
          std::move(Store.Upstreams_), followerTiming(Settings_.maxStaleness()),
          seededRandom(), Time_,
          {[this](auto Items) { handleUpstreamItems(std::move(Items), true); },
           [this](auto Items) { handleUpstreamItems(std::move(Items), false); },
           [this] {
             PeerSync_.spread();
             PacketLoop_.handleHeld();
           },
           [this] { PeerSync_.storeRecovered(Time_.now()); }},
          Metrics_, Log_),
      RouteReader_("routes", Io_, Settings_.Store_, Settings_.Address_,
                   std::move(Store.Routes_),
                   followerTiming(Settings_.maxStaleness()), seededRandom(),
                   Time_,
                   {[this](auto Items) { handleRouteItems(std::move(Items)); },
                    [this](auto Items) { handleRouteItems(std::move(Items)); },
                    [this] {
                      PeerSync_.spread();
                      PacketLoop_.handleHeld();
                    },
                    [this] { PeerSync_.storeRecovered(Time_.now()); }},
                   Metrics_, Log_),
      EvacuationReader_(makeEvacuationReader(std::move(Store.Evacuations_))),
      EvacuationHandler_(EvacuationReader_
                             ? std::make_unique<EvacuationHandler>(
                                   Catalog_, EvacuationReader_->follower(),
                                   Settings_.Domain_, Metrics_, Log_)
                             : nullptr),
      PeerSync_(Io_, Settings_, freshnessTiming(Settings_.maxStaleness()),
                {UpstreamReader_.follower(), RouteReader_.follower(),
                 [this](StoreRevision Revision) {
                   return Catalog_.changesSince(Revision);
                 },
                 Router_,
                 [this](auto Changes) { applyUpstreams(std::move(Changes)); },
                 [this](const auto &Changes) { mergeRoutes(Changes); },
                 [this](TimePoint RecoveredAt) {
                   Catalog_.storeRecovered(RecoveredAt);
                 },
                 [this] { return Forwarder_.takeReports(); },
                 [this](const auto &Reports, Endpoint Peer) {
                   handleReports(Reports, Peer);
                 },
                 [this](TimePoint Now) { return Forwarder_.sampleLoad(Now); },
                 [this](Endpoint Peer, auto Load, TimePoint Now) {
                   Forwarder_.recordPeerLoad(Peer, std::move(Load), Now);
                 },
                 evacuationBindings()},
                seededRandom(), Time_, Metrics_, Log_),
      DecisionLog_(
          Catalog_, Router_,
          [this](TimePoint Now) {
            const auto Since = UpstreamReader_.follower().currentAsOf();
            return Since ? std::chrono::duration_cast<Millis>(Now - *Since)
                         : Millis(-1);
          },
          Log_, Metrics_, evacuationAge(),
          [this](TimePoint Now) {
            return Forwarder_.peerLoadAge(Now).value_or(Millis(-1));
          }),
      PacketLoop_(
          Io_, Settings_.Packets_, Packets, Forwarder_, Readiness_,
          DecisionLog_,
          [this] {
            Pauses_.recordActivity(Time_.now());
            PeerSync_.poll();
            return freshness();
          },
          Time_),
      ReadinessListener_(
          Io_, Settings_.Readiness_,
          [this](const net::HttpRequest &Request, const net::HttpReply &Reply) {
            Reply(serveReadiness(Request));
          }),
      MetricsListener_(
          Io_, Settings_.Metrics_,
          [this](const net::HttpRequest &Request, const net::HttpReply &Reply) {
            Reply(serveMetrics(Request));
          }),
      Signals_(Io_, SIGTERM, SIGINT, SIGHUP), TickTimer_(Io_),
      TrackedFlows_(Metrics_.gauge("medlarmoor_edge_flows")),
      ListedUpstreams_(Metrics_.gauge("medlarmoor_edge_upstreams")),
      RouteVersion_(Metrics_.gauge("medlarmoor_edge_route_version")),
      OwnedCount_(Metrics_.gauge("medlarmoor_admission_owned_upstreams")),
      PeerLoadAge_(Metrics_.gauge("medlarmoor_admission_report_age_ms")) {
  telemetry::EventLog::batch();
}

bool EdgeServer::Impl::start(Findings &Errors) {
  if (!PacketLoop_.start())
    Errors.add({File_, 0, 0}, PacketLoop_.lastReason());
  if (!PeerSync_.start())
    Errors.add({File_, 0, 0}, PeerSync_.lastReason());
  for (net::HttpServer *Listener : {&ReadinessListener_, &MetricsListener_})
    if (!Listener->listen())
      Errors.add({File_, 0, 0}, Listener->lastReason());
  if (!Errors.empty())
    return false;
  Log_.info("started", {{"name", Settings_.Name_.value()},
                        {"domain", Settings_.Domain_.value()},
                        {"address", Settings_.Packets_.text()},
                        {"store", Settings_.Store_.text()},
                        {"version", MEDLARMOOR_VERSION}});
  UpstreamReader_.start();
  RouteReader_.start();
  if (EvacuationReader_)
    EvacuationReader_->start();
  waitForSignal();
  tick();
  return true;
}

std::unique_ptr<EdgeServer::Impl::EvacuationReader>
EdgeServer::Impl::makeEvacuationReader(
    objects::CollectionCodec<DomainName> Codec) {
  if (!Settings_.EvacuateLimit_)
    return nullptr;
  return std::make_unique<EvacuationReader>(
      "evacuations", Io_, Settings_.Store_, Settings_.Address_,
      std::move(Codec), followerTiming(Settings_.maxStaleness()),
      seededRandom(), Time_,
      EvacuationReader::Handlers{
          [this](const auto &Items) { handleEvacuationItems(Items, true); },
          [this](const auto &Items) { handleEvacuationItems(Items, false); },
          [this] {
            PeerSync_.spread();
            PacketLoop_.handleHeld();
          },
          [this] { PeerSync_.storeRecovered(Time_.now()); }},
      Metrics_, Log_);
}

std::optional<PeerSync::EvacuationBindings>
EdgeServer::Impl::evacuationBindings() {
  if (!EvacuationReader_)
    return std::nullopt;
  return PeerSync::EvacuationBindings{
      EvacuationReader_->follower(), Catalog_.evacuations(),
      [this](const discovery::EvacuationChanges &Changes) {
        EvacuationHandler_->handleChanges(Changes, Time_.now());
        PacketLoop_.handleHeld();
      }};
}

std::function<Millis(TimePoint)> EdgeServer::Impl::evacuationAge() const {
  if (!EvacuationHandler_)
    return {};
  return [this](TimePoint Now) { return EvacuationHandler_->age(Now); };
}

void EdgeServer::Impl::handleEvacuationItems(
    const EvacuationReader::Items &Items, bool Complete) {
  EvacuationHandler_->handleItems(Items, Complete, Time_.now());
  PacketLoop_.handleHeld();
  PeerSync_.spread();
}

void EdgeServer::Impl::handleUpstreamItems(UpstreamReader::Items Items,
                                           bool Complete) {
  discovery::UpstreamChanges Changes;
  Changes.IsFullSnapshot_ = Complete;
  for (auto &Item : Items) {
    const UpstreamName Name(Item.Name_);
    // A list repeats what is known already.
    if (!Item.Error_.empty() && !(Complete && Catalog_.unreadable(Name)))
      Log_.warn("upstream_unreadable",
                {{"name", Item.Name_}, {"reason", Item.Error_}});
    if (Item.Value_)
      Changes.Listed_.push_back(std::move(*Item.Value_));
    else if (!Item.Error_.empty() && !Item.Name_.empty())
      Changes.Unreadable_.push_back(Name);
    else if (!Complete && !Item.Name_.empty())
      Changes.Removed_.emplace_back(Item.Name_);
  }
  applyUpstreams(std::move(Changes));
  PeerSync_.spread();
}

void EdgeServer::Impl::applyUpstreams(discovery::UpstreamChanges Changes) {
  for (const discovery::Upstream &Upstream : Changes.Listed_)
    logListed(Upstream);
  for (const UpstreamName &Name : Changes.Removed_)
    Log_.info("upstream_unlisted",
              {{"upstream", Name.value()},
               {"revision", UpstreamReader_.follower().revision().Number_}});
  Catalog_.apply(std::move(Changes), UpstreamReader_.follower().revision(),
                 Time_.now());
  PacketLoop_.handleHeld();
}

void EdgeServer::Impl::logListed(const discovery::Upstream &Upstream) {
  const discovery::CatalogEntry *Entry =
      Catalog_.find(affinity::tagOf(Upstream.Name_));
  if (Entry && Entry->Upstream_ == Upstream &&
      Entry->State_ == discovery::CatalogEntry::State::Listed)
    return;
  Log_.info("upstream_listed",
            {{"upstream", Upstream.Name_.value()},
             {"service", Upstream.Service_.value()},
             {"address", Upstream.Address_.text()},
             {"draining", Upstream.Draining_ ? "yes" : "no"},
             {"warm_up_ms", Upstream.WarmUp_.count()},
             {"started", Upstream.StartedAt_.time_since_epoch().count()},
             {"revision", UpstreamReader_.follower().revision().Number_}});
}

void EdgeServer::Impl::handleReports(const placement::UpstreamReports &Reports,
                                     Endpoint Peer) {
  const TimePoint Now = Time_.now();
  for (const placement::Suspect &Suspect : Reports.Suspects_)
    if (Forwarder_.recordPeerSuspect(Suspect, Now))
      DecisionLog_.recordSuspect(Suspect.Upstream_, Peer, Now);
  for (const affinity::Tag Upstream : Reports.Unanswered_)
    Forwarder_.recordPeerTimeout(Upstream, Peer, Now);
}

void EdgeServer::Impl::handleRouteItems(RouteReader::Items Items) {
  for (auto &Item : Items) {
    if (!Item.Value_) {
      Log_.warn("routes_unreadable",
                {{"name", Item.Name_}, {"reason", Item.Error_}});
      continue;
    }
    const ConfigVersion Offered = Item.Value_->Version_;
    const auto Rejected = Item.Value_->RejectedServices_;
    const bool Adopted = Router_.adopt(std::move(*Item.Value_));
    logRoutes(Adopted, Offered, "store");
    if (Adopted)
      for (const auto &[Service, Reason] : Rejected)
        Log_.warn("warm_up_rate_unreadable", {{"service", Service.value()},
                                              {"reason", Reason},
                                              {"version", Offered.value()}});
  }
  PeerSync_.spread();
}

void EdgeServer::Impl::mergeRoutes(const routing::RouteChanges &Changes) {
  logRoutes(Router_.merge(Changes), Changes.Version_, "peer");
}

void EdgeServer::Impl::logRoutes(bool Adopted, ConfigVersion Offered,
                                 const char *Source) {
  Log_.info("routes_offered",
            {{"source", Source},
             {"adopted", Adopted ? "yes" : "no"},
             {"offered", Offered.value()},
             {"in_force", Router_.table().Version_.value()},
             {"routes", Router_.table().Routes_.size()},
             {"revision", RouteReader_.follower().revision().Number_}});
  Forwarder_.setWarmUpRates(Router_.table().WarmUpRates_);
  PacketLoop_.handleHeld();
}

Freshness EdgeServer::Impl::freshness() const {
  const TimePoint Now = Time_.now();
  // An older state may lack a change that other instances have applied.
  const auto IsRecent = [&](const objects::Follower &Follower) {
    return Follower.currentAsOf() &&
           Now - *Follower.currentAsOf() < Settings_.maxStaleness();
  };
  return {IsRecent(RouteReader_.follower()),
          IsRecent(UpstreamReader_.follower()),
          Pauses_.resuming(Now),
          Pauses_.resumedAt(),
          false,
          !EvacuationReader_ || IsRecent(EvacuationReader_->follower())};
}

void EdgeServer::Impl::updateOwners(TimePoint Now) {
  const bool CheckDue = Settings_.AdmissionEnabled_ && Now >= NextOwnerCheck_;
  if (!CheckDue && !limitsColdUpstreams())
    return;
  std::vector<placement::OwnerMap::Location> Upstreams;
  for (const discovery::CatalogEntry *Entry : Catalog_.accepting())
    Upstreams.emplace_back(Entry->Tag_, Entry->Upstream_.Domain_);
  std::sort(Upstreams.begin(), Upstreams.end());
  std::vector<placement::FleetMember> Members = PeerSync_.fleet();
  if (limitsColdUpstreams())
    Forwarder_.updateWarmUp(Upstreams, Members, Now);
  if (!CheckDue)
    return;
  NextOwnerCheck_ = Now + OwnerCheckInterval;
  if (Upstreams == OwnedUpstreams_ && Members == OwningMembers_)
    return;
  OwnedUpstreams_ = std::move(Upstreams);
  OwningMembers_ = std::move(Members);
  Forwarder_.updateOwners(OwnedUpstreams_, OwningMembers_);
}

void EdgeServer::Impl::tick() {
  const TimePoint Now = Time_.now();
  Pauses_.recordActivity(Now);
  PacketLoop_.handleHeld();
  const Forwarder::Expired Expired = Forwarder_.expire(Now);
  for (const auto &[Key, Flow] : Expired.Silent_)
    DecisionLog_.recordSilentFlow(Key, Flow, Now);
  for (const FailedRequest &Request : Expired.Overdue_)
    DecisionLog_.recordFailure(Request, Now);
  DecisionLog_.flush(Now);
  updateOwners(Now);
  updateGauges(Now);
  checkSettingsFile(Now);
  telemetry::EventLog::flush();
  if (Readiness_.mayExit(Now)) {
    PacketLoop_.drain();
    Log_.info("stopped", {{"flows", Forwarder_.flows().size()}});
    telemetry::EventLog::flush();
    return Io_.stop();
  }
  TickTimer_.expires_after(TickInterval);
  TickTimer_.async_wait([this](boost::system::error_code Error) {
    if (!Error)
      tick();
  });
}

void EdgeServer::Impl::waitForSignal() {
  Signals_.async_wait([this](boost::system::error_code Error, int Signal) {
    if (Error)
      return;
    if (Signal == SIGHUP)
      reload("signal");
    else
      stop();
    waitForSignal();
  });
}

void EdgeServer::Impl::stop() {
  if (Readiness_.stopping())
    return;
  Readiness_.stop(Time_.now());
  Log_.info("stopping", {{"flows", Forwarder_.flows().size()},
                         {"grace_ms", Settings_.GracePeriod_.count()}});
}

void EdgeServer::Impl::checkSettingsFile(TimePoint Now) {
  if (Now < NextFileCheck_)
    return;
  NextFileCheck_ = Now + FileCheckInterval;
  std::error_code Error;
  const auto ModifiedAt = std::filesystem::last_write_time(File_, Error);
  if (Error || ModifiedAt == FileModifiedAt_)
    return;
  const bool IsFirstCheck = !FileModifiedAt_;
  FileModifiedAt_ = ModifiedAt;
  if (!IsFirstCheck)
    reload("file changed");
}

void EdgeServer::Impl::reload(const char *Cause) {
  Findings Found;
  const auto Loaded = config::readEdgeSettingsFile(File_, Found);
  if (!Loaded) {
    Log_.error("reload_refused",
               {{"cause", Cause}, {"findings", Found.text()}});
    return;
  }
  config::EdgeSettings Updated = Settings_;
  Updated.Seeds_ = Loaded->Seeds_;
  Updated.LogLevel_ = Loaded->LogLevel_;
  Updated.GracePeriod_ = Loaded->GracePeriod_;
  Log_.setLevel(Updated.LogLevel_);
  PeerSync_.setSeeds(Updated.gossipSeeds());
  Readiness_.setGrace(Updated.GracePeriod_);
  Log_.info("reloaded", {{"cause", Cause},
                         {"changed", Updated == Settings_ ? "no" : "yes"},
                         {"needs_restart", Updated == *Loaded ? "no" : "yes"}});
  Settings_ = Updated;
}

void EdgeServer::Impl::updateGauges(TimePoint Now) {
  PeerLoadAge_.set(Forwarder_.peerLoadAge(Now).value_or(Millis(0)).count());
  TrackedFlows_.set(static_cast<std::int64_t>(Forwarder_.flows().size()));
  ListedUpstreams_.set(static_cast<std::int64_t>(Catalog_.listedCount()));
  if (EvacuationHandler_)
    EvacuationHandler_->update(Time_.now());
  OwnedCount_.set(static_cast<std::int64_t>(Forwarder_.ownedUpstreams()));
  RouteVersion_.set(
      static_cast<std::int64_t>(Router_.table().Version_.value()));
}

net::HttpResponse
EdgeServer::Impl::serveReadiness(const net::HttpRequest &Request) const {
  constexpr unsigned Unavailable = 503;
  constexpr unsigned NotFound = 404;
  if (Request.path() != Settings_.ReadinessPath_)
    return net::textPage("no such page\n", NotFound);
  if (Readiness_.ready(Router_.ready(), Catalog_.ready()))
    return net::textPage("ready\n");
  return net::textPage("not ready\n", Unavailable);
}

net::HttpResponse
EdgeServer::Impl::serveMetrics(const net::HttpRequest &Request) const {
  constexpr unsigned NotFound = 404;
  if (Request.path() != "/metrics")
    return net::textPage("no such page\n", NotFound);
  return net::textPage(Metrics_.text());
}

EdgeServer::EdgeServer(config::EdgeSettings Settings, std::string File,
                       PacketCodec Packets, StoreCodec Store, Clock Time)
    : Impl_(std::make_unique<Impl>(std::move(Settings), std::move(File),
                                   Packets, std::move(Store),
                                   std::move(Time))) {}

EdgeServer::~EdgeServer() = default;

bool EdgeServer::start(Findings &Errors) { return Impl_->start(Errors); }

void EdgeServer::run() { Impl_->run(); }

} // namespace medlarmoor::edge
