#include <medlarmoor/edge/edge_server.hpp>

#include <medlarmoor/config/read_edge_settings.hpp>
#include <medlarmoor/core/findings.hpp>
#include <medlarmoor/edge/decision_log.hpp>
#include <medlarmoor/edge/forwarder.hpp>
#include <medlarmoor/edge/packet_loop.hpp>
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

#include <csignal>
#include <filesystem>
#include <optional>
#include <random>
#include <utility>

namespace medlarmoor::edge {

namespace {

/// How often silent flows, lapsed upstreams and the exit are looked at.
constexpr Millis TickInterval{200};
/// How often the settings file is looked at for a change without a signal.
constexpr Millis FileCheckInterval{2000};

Random seeded() {
  std::random_device Device;
  return Random((std::uint64_t{Device()} << 32U) | Device());
}

} // namespace

class EdgeServer::Impl {
public:
  Impl(config::EdgeSettings Settings, std::string File, PacketCodec Packets,
       StoreCodec Store, Clock Time);

  bool start(Findings &Out);
  void run() { Io_.run(); }

private:
  using UpstreamReader = objects::CollectionReader<discovery::Upstream>;
  using RouteReader = objects::CollectionReader<routing::RouteTable>;

  void takeUpstreams(UpstreamReader::Items Items, bool Whole);
  void takeRoutes(RouteReader::Items Items);
  void applyUpstreams(discovery::UpstreamChanges Changes);
  void noteListed(const discovery::Upstream &Each);
  void mergeRoutes(const routing::RouteChanges &Changes);
  void noteRoutes(bool Adopted, ConfigVersion Offered);
  [[nodiscard]] Knowledge known() const;
  void tick();
  void noteUsage();
  void checkFile(TimePoint Now);
  void waitForSignal();
  void stop();
  void reload(const char *Cause);
  net::HttpResponse answerRouter(const net::HttpRequest &Request) const;
  net::HttpResponse answerMetrics(const net::HttpRequest &Request) const;

  config::EdgeSettings Settings_;
  std::string File_;
  Clock Time_;
  boost::asio::io_context Io_{1};
  telemetry::Registry Metrics_;
  telemetry::EventLog Log_;
  discovery::Catalog Catalog_;
  routing::Router Routes_;
  Forwarder Forwarder_;
  Readiness Readiness_;
  UpstreamReader Upstreams_;
  RouteReader RouteTables_;
  PeerSync Peers_;
  DecisionLog Decisions_;
  PacketLoop Packets_;
  net::HttpServer RouterDoor_;
  net::HttpServer MetricsDoor_;
  boost::asio::signal_set Signals_;
  boost::asio::steady_timer Ticks_;
  TimePoint NextFileCheck_{};
  std::optional<std::filesystem::file_time_type> FileChanged_;
  telemetry::Gauge &TrackedFlows_;
  telemetry::Gauge &ListedUpstreams_;
  telemetry::Gauge &RouteVersion_;
};

EdgeServer::Impl::Impl(config::EdgeSettings Settings, std::string File,
                       PacketCodec Packets, StoreCodec Store, Clock Time)
    : Settings_(std::move(Settings)), File_(std::move(File)),
      Time_(std::move(Time)), Log_("edge", Settings_.LogLevel_),
      Catalog_({.FlowAge_ = Settings_.FlowAge_}),
      Forwarder_(Catalog_, Routes_,
                 {Settings_.Domain_, placement::LeastLoaded{}, seeded()}, {}),
      Readiness_(Settings_.Grace_),
      Upstreams_(
          "upstreams", Io_, Settings_.Store_, Settings_.Address_,
          std::move(Store.Upstreams_), followerTiming(Settings_.freshness()),
          seeded(), Time_,
          {[this](auto Items) { takeUpstreams(std::move(Items), true); },
           [this](auto Items) { takeUpstreams(std::move(Items), false); },
           [this] { Peers_.storeReturned(Time_.now()); }},
          Metrics_, Log_),
      RouteTables_("routes", Io_, Settings_.Store_, Settings_.Address_,
                   std::move(Store.Routes_),
                   followerTiming(Settings_.freshness()), seeded(), Time_,
                   {[this](auto Items) { takeRoutes(std::move(Items)); },
                    [this](auto Items) { takeRoutes(std::move(Items)); },
                    [this] { Peers_.storeReturned(Time_.now()); }},
                   Metrics_, Log_),
      Peers_(Io_, Settings_, electionTiming(Settings_.freshness()),
             {Upstreams_.follower(), RouteTables_.follower(),
              [this](std::uint64_t Revision) {
                return Catalog_.changesSince(Revision);
              },
              [this](std::uint64_t Revision) {
                return Routes_.changesSince(Revision);
              },
              [this](auto Changes) { applyUpstreams(std::move(Changes)); },
              [this](const auto &Changes) { mergeRoutes(Changes); },
              [this] {
                Upstreams_.wake();
                RouteTables_.wake();
              },
              [this](TimePoint When) { Catalog_.storeReturned(When); },
              [this] { return Forwarder_.takeSuspects(); },
              [this](const placement::Suspect &Each, Endpoint Peer) {
                const TimePoint Now = Time_.now();
                if (Forwarder_.suspect(Each, Now))
                  Decisions_.suspected(Each.Upstream_, Peer, Now);
              }},
             seeded(), Time_, Metrics_, Log_),
      Decisions_(
          Catalog_, Routes_,
          [this](TimePoint Now) {
            const auto Since = Upstreams_.follower().currentAsOf();
            return Since ? std::chrono::duration_cast<Millis>(Now - *Since)
                         : Millis(-1);
          },
          Log_, Metrics_),
      Packets_(
          Io_, Settings_.Packets_, Packets, Forwarder_, Readiness_, Decisions_,
          [this] { return known(); }, Time_),
      RouterDoor_(
          Io_, Settings_.Readiness_,
          [this](const net::HttpRequest &Request, const net::HttpReply &Reply) {
            Reply(answerRouter(Request));
          }),
      MetricsDoor_(
          Io_, Settings_.Metrics_,
          [this](const net::HttpRequest &Request, const net::HttpReply &Reply) {
            Reply(answerMetrics(Request));
          }),
      Signals_(Io_, SIGTERM, SIGINT, SIGHUP), Ticks_(Io_),
      TrackedFlows_(Metrics_.gauge("medlarmoor_edge_flows")),
      ListedUpstreams_(Metrics_.gauge("medlarmoor_edge_upstreams")),
      RouteVersion_(Metrics_.gauge("medlarmoor_edge_route_version")) {
  telemetry::EventLog::batch();
}

bool EdgeServer::Impl::start(Findings &Out) {
  if (!Packets_.start())
    Out.add({File_, 0, 0}, Packets_.lastReason());
  if (!Peers_.start())
    Out.add({File_, 0, 0}, Peers_.lastReason());
  for (net::HttpServer *Each : {&RouterDoor_, &MetricsDoor_})
    if (!Each->listen())
      Out.add({File_, 0, 0}, Each->lastReason());
  if (!Out.empty())
    return false;
  Log_.info("started", {{"name", Settings_.Name_.value()},
                        {"domain", Settings_.Domain_.value()},
                        {"address", Settings_.Packets_.text()},
                        {"store", Settings_.Store_.text()},
                        {"version", MEDLARMOOR_VERSION}});
  Upstreams_.start();
  RouteTables_.start();
  waitForSignal();
  tick();
  return true;
}

void EdgeServer::Impl::takeUpstreams(UpstreamReader::Items Items, bool Whole) {
  discovery::UpstreamChanges Changes;
  Changes.Whole_ = Whole;
  for (auto &Each : Items) {
    if (!Each.Problem_.empty())
      Log_.warn("upstream_unreadable",
                {{"name", Each.Name_}, {"reason", Each.Problem_}});
    if (Each.Value_)
      Changes.Listed_.push_back(std::move(*Each.Value_));
    else if (!Whole)
      Changes.Removed_.emplace_back(Each.Name_);
  }
  applyUpstreams(std::move(Changes));
  Peers_.announceChange();
}

void EdgeServer::Impl::applyUpstreams(discovery::UpstreamChanges Changes) {
  for (const discovery::Upstream &Each : Changes.Listed_)
    noteListed(Each);
  for (const UpstreamName &Name : Changes.Removed_)
    Log_.info("upstream_unlisted",
              {{"upstream", Name.value()},
               {"revision", Upstreams_.follower().revision()}});
  Catalog_.apply(std::move(Changes), Upstreams_.follower().revision(),
                 Time_.now());
}

void EdgeServer::Impl::noteListed(const discovery::Upstream &Each) {
  const discovery::CatalogEntry *Known =
      Catalog_.find(affinity::tagOf(Each.Name_));
  if (Known && Known->Upstream_ == Each &&
      Known->State_ == discovery::CatalogEntry::State::Listed)
    return;
  Log_.info("upstream_listed",
            {{"upstream", Each.Name_.value()},
             {"service", Each.Service_.value()},
             {"address", Each.Address_.text()},
             {"draining", Each.Draining_ ? "yes" : "no"},
             {"warm_up_ms", Each.WarmUp_.count()},
             {"started", Each.StartedAt_.time_since_epoch().count()},
             {"revision", Upstreams_.follower().revision()}});
}

void EdgeServer::Impl::takeRoutes(RouteReader::Items Items) {
  for (auto &Each : Items) {
    if (!Each.Value_) {
      Log_.warn("routes_unreadable",
                {{"name", Each.Name_}, {"reason", Each.Problem_}});
      continue;
    }
    const ConfigVersion Offered = Each.Value_->Version_;
    noteRoutes(Routes_.adopt(std::move(*Each.Value_),
                             RouteTables_.follower().revision()),
               Offered);
  }
  Peers_.announceChange();
}

void EdgeServer::Impl::mergeRoutes(const routing::RouteChanges &Changes) {
  noteRoutes(Routes_.merge(Changes, RouteTables_.follower().revision()),
             Changes.Version_);
}

void EdgeServer::Impl::noteRoutes(bool Adopted, ConfigVersion Offered) {
  Log_.info("routes_offered",
            {{"adopted", Adopted ? "yes" : "no"},
             {"offered", Offered.value()},
             {"in_force", Routes_.table().Version_.value()},
             {"routes", Routes_.table().Routes_.size()},
             {"revision", RouteTables_.follower().revision()}});
}

Knowledge EdgeServer::Impl::known() const {
  const TimePoint Now = Time_.now();
  // Beyond that age a change that others have applied may be missing.
  const auto Recent = [&](const objects::Follower &Each) {
    return Each.currentAsOf() &&
           Now - *Each.currentAsOf() < Settings_.freshness();
  };
  return {Recent(RouteTables_.follower()), Recent(Upstreams_.follower())};
}

void EdgeServer::Impl::tick() {
  const TimePoint Now = Time_.now();
  const Forwarder::Expired Expired = Forwarder_.expire(Now);
  for (const auto &[Key, Flow] : Expired.Silent_)
    Decisions_.silent(Key, Flow, Now);
  for (const FailedRequest &Each : Expired.Overdue_)
    Decisions_.failed(Each, Now);
  Decisions_.flush(Now);
  noteUsage();
  checkFile(Now);
  telemetry::EventLog::flush();
  if (Readiness_.mayExit(Now)) {
    Log_.info("stopped", {{"flows", Forwarder_.flows().size()}});
    telemetry::EventLog::flush();
    return Io_.stop();
  }
  Ticks_.expires_after(TickInterval);
  Ticks_.async_wait([this](boost::system::error_code Failed) {
    if (!Failed)
      tick();
  });
}

void EdgeServer::Impl::waitForSignal() {
  Signals_.async_wait([this](boost::system::error_code Failed, int Number) {
    if (Failed)
      return;
    if (Number == SIGHUP)
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
                         {"grace_ms", Settings_.Grace_.count()}});
}

void EdgeServer::Impl::checkFile(TimePoint Now) {
  if (Now < NextFileCheck_)
    return;
  NextFileCheck_ = Now + FileCheckInterval;
  std::error_code Failed;
  const auto Changed = std::filesystem::last_write_time(File_, Failed);
  if (Failed || Changed == FileChanged_)
    return;
  const bool First = !FileChanged_;
  FileChanged_ = Changed;
  if (!First)
    reload("file changed");
}

void EdgeServer::Impl::reload(const char *Cause) {
  Findings Found;
  const auto Read = config::readEdgeSettingsFile(File_, Found);
  if (!Read) {
    Log_.error("reload_refused",
               {{"cause", Cause}, {"findings", Found.text()}});
    return;
  }
  config::EdgeSettings Next = Settings_;
  Next.Seeds_ = Read->Seeds_;
  Next.LogLevel_ = Read->LogLevel_;
  Next.Grace_ = Read->Grace_;
  Log_.setLevel(Next.LogLevel_);
  Peers_.setSeeds(Next.gossipSeeds());
  Readiness_.setGrace(Next.Grace_);
  Log_.info("reloaded", {{"cause", Cause},
                         {"changed", Next == Settings_ ? "no" : "yes"},
                         {"needs_restart", Next == *Read ? "no" : "yes"}});
  Settings_ = Next;
}

void EdgeServer::Impl::noteUsage() {
  TrackedFlows_.set(static_cast<std::int64_t>(Forwarder_.flows().size()));
  ListedUpstreams_.set(static_cast<std::int64_t>(Catalog_.listed()));
  RouteVersion_.set(
      static_cast<std::int64_t>(Routes_.table().Version_.value()));
}

net::HttpResponse
EdgeServer::Impl::answerRouter(const net::HttpRequest &Request) const {
  constexpr unsigned Unavailable = 503;
  constexpr unsigned NotFound = 404;
  if (Request.path() != Settings_.ReadinessPath_)
    return net::textPage("no such page\n", NotFound);
  if (Readiness_.ready(Routes_.ready(), Catalog_.ready()))
    return net::textPage("ready\n");
  return net::textPage("not ready\n", Unavailable);
}

net::HttpResponse
EdgeServer::Impl::answerMetrics(const net::HttpRequest &Request) const {
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

bool EdgeServer::start(Findings &Out) { return Impl_->start(Out); }

void EdgeServer::run() { Impl_->run(); }

} // namespace medlarmoor::edge
