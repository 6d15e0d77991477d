#include <medlarmoor/config/active_config.hpp>
#include <medlarmoor/core/findings.hpp>
#include <medlarmoor/daemon/admin_thread.hpp>
#include <medlarmoor/daemon/channels.hpp>
#include <medlarmoor/daemon/daemon.hpp>
#include <medlarmoor/daemon/internal_admin_pages.hpp>
#include <medlarmoor/daemon/port_check.hpp>
#include <medlarmoor/daemon/process_usage.hpp>
#include <medlarmoor/daemon/progress_watch.hpp>
#include <medlarmoor/flow/flow_thread.hpp>
#include <medlarmoor/membership/control_thread.hpp>
#include <medlarmoor/net/http_pages.hpp>
#include <medlarmoor/platform/config_thread.hpp>
#include <medlarmoor/request/request_thread.hpp>
#include <medlarmoor/telemetry/event_log.hpp>
#include <medlarmoor/telemetry/registry.hpp>
#include <medlarmoor/telemetry/span_log.hpp>

#include <algorithm>
#include <functional>
#include <thread>

namespace medlarmoor::daemon {

namespace {

constexpr Millis LeavePoll{20};
constexpr Millis FabricQuiet{500};

} // namespace

class Daemon::Impl {
public:
  Impl(config::Settings Given, const Clock &Time, const std::string &SpanFile);

  bool start(const std::string &File, Findings &Out);
  bool leave();

private:
  bool handOverFlows(TimePoint Limit);
  [[nodiscard]] bool fabricQuiet();
  void stopThreads();
  void watchThread(const std::string &Name);
  net::HttpResponse answer(const net::HttpRequest &Request);
  net::HttpResponse explain(const net::HttpRequest &Request);
  [[nodiscard]] Millis longestDeadline() const;
  bool waitFor(const std::function<bool()> &Done, TimePoint Limit);

  config::Settings Settings_;
  Clock Time_;
  telemetry::Registry Metrics_;
  telemetry::EventLog Events_;
  telemetry::SpanLog Spans_;
  Channels Channels_;
  membership::ControlThread Control_;
  platform::ConfigThread Config_;
  flow::FlowThread Flows_;
  request::RequestThread Requests_;
  ProgressWatch Progress_;
  AdminThread Admin_;
  telemetry::Counter &FabricPackets_;
  std::uint64_t LastFabricPackets_ = 0;
  TimePoint LastFabricChange_ = Time_.now();
};

Daemon::Impl::Impl(config::Settings Given, const Clock &Time,
                   const std::string &SpanFile)
    : Settings_(std::move(Given)), Time_(Time),
      Events_("medlarmoord", Settings_.LogLevel_),
      Spans_("medlarmoord", SpanFile),
      Control_(Settings_,
               {Channels_.ConfigToControl_, Channels_.FlowToControl_,
                Channels_.ConfigMessageToControl_, Channels_.ControlViewToFlow_,
                Channels_.ControlViewToRequests_,
                Channels_.ControlViewToConfig_, Channels_.ControlToFlow_,
                Channels_.ControlToConfig_},
               Time_, Metrics_, Events_),
      Config_(Settings_, Channels_.ConfigToFlow_, Channels_.ConfigToRequests_,
              Channels_.ConfigToControl_, Channels_.ControlViewToConfig_,
              Channels_.ControlToConfig_, Channels_.ConfigMessageToControl_,
              Time_, Metrics_, Events_),
      Flows_(Settings_, Channels_.ConfigToFlow_, Channels_.ControlViewToFlow_,
             Channels_.ControlToFlow_, Channels_.FlowToControl_, Time_,
             Metrics_, Events_),
      Requests_(Settings_, Channels_.ConfigToRequests_,
                Channels_.ControlViewToRequests_, Time_, Metrics_, Events_,
                Spans_),
      Progress_(Time_),
      Admin_(
          {Settings_.Address_, Settings_.Ports_.Admin_},
          [this](const net::HttpRequest &Request) { return answer(Request); },
          [this] { Progress_.sample(); }),
      FabricPackets_(Metrics_.counter("medlarmoor_flow_received_total",
                                      "from=\"fabric\"")) {}

bool Daemon::Impl::start(const std::string &File, Findings &Out) {
  checkPorts(Settings_, File, Out);
  if (!Out.empty())
    return false;
  const auto Begin = [&](auto &Thread) {
    if (!Thread.start())
      Out.add({File, 0, 0}, Thread.lastReason());
  };
  watchThread("control");
  watchThread("config");
  if (Settings_.ListenersEnabled_) {
    watchThread("flow");
    watchThread("requests");
  }
  Begin(Config_);
  if (Settings_.ListenersEnabled_) {
    Begin(Flows_);
    Begin(Requests_);
  }
  Begin(Control_);
  Begin(Admin_);
  if (!Out.empty()) {
    stopThreads();
    return false;
  }
  Events_.info("started", {{"name", Settings_.Name_.value()},
                           {"domain", Settings_.Domain_.value()},
                           {"address", Settings_.Address_.text()},
                           {"version", MEDLARMOOR_VERSION}});
  return true;
}

bool Daemon::Impl::leave() {
  const TimePoint Limit = Time_.now() + longestDeadline();
  Events_.info("leaving", {{"limit_ms", longestDeadline().count()}});
  bool Complete = !Settings_.ListenersEnabled_ || handOverFlows(Limit);
  Control_.leave();
  if (Settings_.ListenersEnabled_) {
    Requests_.leave();
    Complete &= waitFor([this] { return Requests_.handoffComplete(); }, Limit);
    Complete &= waitFor([this] { return fabricQuiet(); }, Limit);
  }
  Control_.completeLeave();
  waitFor(
      [this] {
        return Control_.status().State_ == membership::EntryState::Stopped;
      },
      std::max(Limit, Time_.now() + Seconds(1)));
  stopThreads();
  Events_.info("stopped", {{"handed_over", Complete ? "yes" : "no"}});
  return Complete;
}

bool Daemon::Impl::handOverFlows(TimePoint Limit) {
  Flows_.leave();
  return waitFor([this] { return Flows_.handedOver(); }, Limit);
}

/// True once the fabric has brought no packet for FabricQuiet: its list of
/// entries lags, and until then this entry passes packets on.
bool Daemon::Impl::fabricQuiet() {
  const std::uint64_t Packets = FabricPackets_.value();
  const TimePoint Now = Time_.now();
  if (Packets != LastFabricPackets_) {
    LastFabricPackets_ = Packets;
    LastFabricChange_ = Now;
  }
  return Now - LastFabricChange_ >= FabricQuiet;
}

void Daemon::Impl::stopThreads() {
  Admin_.stop();
  if (Settings_.ListenersEnabled_) {
    Flows_.stop();
    Requests_.stop();
  }
  Config_.stop();
  Control_.stop();
}

void Daemon::Impl::watchThread(const std::string &Name) {
  Progress_.add(Name, Metrics_.counter("medlarmoor_thread_ticks_total",
                                       "thread=\"" + Name + "\""));
}

net::HttpResponse Daemon::Impl::answer(const net::HttpRequest &Request) {
  const std::string_view Path = Request.path();
  if (Request.Method_ != "GET")
    return internal::errorPage(405, "only GET");
  if (Path == "/metrics") {
    noteProcessUsage(Metrics_);
    return net::textPage(Metrics_.text());
  }
  if (Path == "/healthz")
    return internal::healthPage(Progress_.stuck());
  if (Path == "/readyz")
    return internal::readyPage(Control_.status(), Time_.now(),
                               Settings_.Membership_.Lease_,
                               !Settings_.ListenersEnabled_ || Flows_.ready());
  if (Path == "/status")
    return internal::statusPage(Settings_, Control_.status());
  if (Path == "/explain")
    return explain(Request);
  return internal::errorPage(404, "no such page");
}

net::HttpResponse Daemon::Impl::explain(const net::HttpRequest &Request) {
  const auto Key = Request.query("key");
  if (Key && Settings_.ListenersEnabled_)
    return net::jsonPage(Requests_.explain(*Key));
  const auto Flow = Request.query("flow");
  if (Flow && Settings_.ListenersEnabled_)
    return net::jsonPage(Flows_.explain(*Flow));
  return internal::errorPage(404, "no door of that kind");
}

Millis Daemon::Impl::longestDeadline() const {
  const config::ActiveConfigPtr InForce = Control_.status().InForce_;
  if (!InForce || InForce->Environment_.Services_.empty())
    return config::ServicePolicy().LongestDeadline_;
  Millis Longest{0};
  for (const config::Service &Each : InForce->Environment_.Services_)
    Longest = std::max(Longest, Each.Policy_.LongestDeadline_);
  return Longest;
}

bool Daemon::Impl::waitFor(const std::function<bool()> &Done, TimePoint Limit) {
  while (!Done()) {
    if (Time_.now() >= Limit)
      return false;
    std::this_thread::sleep_for(LeavePoll);
  }
  return true;
}

Daemon::Daemon(config::Settings Given, Clock Time, const std::string &SpanFile)
    : Impl_(std::make_unique<Impl>(std::move(Given), Time, SpanFile)) {}

Daemon::~Daemon() = default;

bool Daemon::start(const std::string &File, Findings &Out) {
  return Impl_->start(File, Out);
}

bool Daemon::leave() { return Impl_->leave(); }

} // namespace medlarmoor::daemon
