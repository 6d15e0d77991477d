#include <medlarmoor/config/follower.hpp>
#include <medlarmoor/config/status_keeper.hpp>
#include <medlarmoor/core/overloaded.hpp>
#include <medlarmoor/net/http_client.hpp>
#include <medlarmoor/net/http_server.hpp>
#include <medlarmoor/platform/client.hpp>
#include <medlarmoor/platform/config_thread.hpp>
#include <medlarmoor/platform/internal_outbox.hpp>
#include <medlarmoor/platform/internal_traffic.hpp>
#include <medlarmoor/telemetry/event_log.hpp>
#include <medlarmoor/telemetry/registry.hpp>
#include <medlarmoor/wire/http_seal.hpp>
#include <medlarmoor/wire/incarnation.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <charconv>
#include <random>
#include <thread>

namespace medlarmoor::platform {

namespace asio = boost::asio;
using Error = boost::system::error_code;

namespace {

constexpr Millis TickPeriod{50};
/// One call to the platform; a slow platform still answers within this.
constexpr Millis PlatformTimeout{2000};
/// How long one watch waits for a change.
constexpr Millis WatchTime{10'000};
constexpr Millis PullTimeout{800};
/// A whole document may be large.
constexpr Millis WholePullTimeout{4000};
const std::string ManifestKind = "manifest";
const std::string PartKind = "part";
const std::string StatusKind = "status";
const std::string ConfigPath = "/internal/config";

std::optional<std::uint64_t> toNumber(const std::optional<std::string> &Text) {
  std::uint64_t Out = 0;
  if (!Text)
    return std::nullopt;
  const char *Last = Text->data() + Text->size();
  const auto [End, Failed] = std::from_chars(Text->data(), Last, Out);
  if (Failed != std::errc() || End != Last)
    return std::nullopt;
  return Out;
}

Incarnation drawRun(const Clock &Time) {
  Random Source(std::random_device{}());
  return wire::drawIncarnation(Time.wallNow(), Source);
}

} // namespace

class ConfigThread::Impl {
public:
  Impl(const config::Settings &Given, Mailbox<config::InForcePtr> &ToFlow,
       Mailbox<config::InForcePtr> &ToRequests,
       Mailbox<config::InForcePtr> &ToControl,
       Mailbox<membership::ViewPtr> &Views, Mailbox<wire::Incoming> &Messages,
       Mailbox<wire::Outgoing> &ToPeers, const Clock &Time,
       telemetry::Registry &Metrics, telemetry::EventLog &Log)
      : Given_(Given), Log_(Log), Views_(Views), Messages_(Messages),
        ToPeers_(ToPeers), Outboxes_{internal::Outbox(ToFlow),
                                     internal::Outbox(ToRequests),
                                     internal::Outbox(ToControl)},
        Platform_(Io_, Given.Platform_, Given.Address_, PlatformTimeout,
                  Metrics),
        Peers_(Io_, Given.Address_),
        Server_(Io_, {Given.Address_, Given.Ports_.Config_},
                [this](net::HttpRequest Request, const net::HttpReply &Reply) {
                  Reply(serve(Request));
                }),
        Seal_(Given.Name_, drawRun(Time), wire::KeyRing(Given.Keys_), Time),
        Timer_(Io_), ViewWake_(Io_), MessageWake_(Io_),
        Follower_(Given.Environment_, Given.Name_, Time,
                  Random(std::random_device()())),
        Status_(Given.Name_, Time),
        VersionGauge_(Metrics.gauge("medlarmoor_config_version")),
        Adopted_(Metrics.counter("medlarmoor_config_adopted_total")),
        Rejected_(Metrics.counter("medlarmoor_config_rejected_total")),
        Watching_(Metrics.gauge("medlarmoor_config_watching")),
        PulledBytes_(Metrics.counter("medlarmoor_config_pulled_bytes_total")),
        ServedBytes_(Metrics.counter("medlarmoor_config_served_bytes_total")),
        Pulls_(Metrics.counter("medlarmoor_config_pulls_total")),
        Unsealed_(Metrics.counter("medlarmoor_config_unsealed_total")),
        FailedPulls_(Metrics.counter("medlarmoor_config_failed_pulls_total")),
        ControlIn_(Metrics.counter("medlarmoor_control_bytes_received_total")),
        ControlOut_(Metrics.counter("medlarmoor_control_bytes_sent_total")),
        Ticks_(Metrics.counter("medlarmoor_thread_ticks_total",
                               "thread=\"config\"")) {}

  ~Impl() {
    stop();
    ViewWake_.release();
    MessageWake_.release();
  }
  Impl(const Impl &) = delete;
  Impl &operator=(const Impl &) = delete;

  bool start() {
    if (!Server_.listen()) {
      Reason_ = Server_.lastReason();
      return false;
    }
    ViewWake_.assign(Views_.descriptor());
    MessageWake_.assign(Messages_.descriptor());
    waitForViews();
    waitForMessages();
    tick();
    Thread_ = std::thread([this] { Io_.run(); });
    return true;
  }

  void stop() {
    if (!Thread_.joinable())
      return;
    Io_.stop();
    Thread_.join();
  }

  [[nodiscard]] const std::string &reason() const noexcept { return Reason_; }

private:
  void tick() {
    Ticks_.add();
    for (internal::Outbox &Each : Outboxes_)
      Each.flush();
    run(Follower_.onTick());
    runStatus();
    Watching_.set(Follower_.watches() ? 1 : 0);
    Timer_.expires_after(TickPeriod);
    Timer_.async_wait([this](Error Failed) {
      if (!Failed)
        tick();
    });
  }

  void waitForViews() {
    ViewWake_.async_wait(asio::posix::descriptor_base::wait_read,
                         [this](Error Failed) {
                           if (Failed)
                             return;
                           Views_.clearWake();
                           while (auto View = Views_.pop())
                             onView(**View);
                           waitForViews();
                         });
  }

  void waitForMessages() {
    MessageWake_.async_wait(asio::posix::descriptor_base::wait_read,
                            [this](Error Failed) {
                              if (Failed)
                                return;
                              Messages_.clearWake();
                              while (auto Message = Messages_.pop())
                                onMessage(*Message);
                              waitForMessages();
                            });
  }

  void onView(const membership::View &View) {
    std::vector<EntryName> Live;
    Addresses_.clear();
    for (const membership::Member &Each : View.members()) {
      Addresses_[Each.Name_] = Each.Address_;
      if (Each.State_ == membership::MemberState::Live)
        Live.push_back(Each.Name_);
    }
    run(Follower_.onMembers(std::move(Live)));
  }

  void onMessage(const wire::Incoming &In) {
    std::visit(Overloaded{[&](const wire::Heartbeat &Each) {
                            run(Follower_.onHeartbeat(In.From_, Each.Config_));
                          },
                          [&](const wire::ConfigNotice &Each) {
                            if (Each.PlatformLost_)
                              run(Follower_.onPlatformLost(In.From_));
                            run(Follower_.onNotice(In.From_, Each.Version_));
                          },
                          [](const auto &) {}},
               In.Message_);
  }

  void run(const config::FollowerActions &Actions) {
    for (const config::FollowerAction &Each : Actions)
      std::visit([this](const auto &Action) { perform(Action); }, Each);
  }

  /// Gives the manifest of this environment, if it is among Items, onward.
  void takeManifests(const std::vector<Object> &Items) {
    for (const Object &Each : Items)
      if (Each.Name_ == Given_.Environment_ && !Each.Deleted_)
        run(Follower_.onManifest(Each.Value_));
  }

  void perform(const config::ListManifests &) {
    Platform_.list(ManifestKind, Given_.Environment_, [this](ListResult In) {
      const Listing *Read = std::get_if<Listing>(&In);
      if (!Read)
        return run(Follower_.onListed(std::nullopt));
      takeManifests(Read->Items_);
      run(Follower_.onListed(Read->Revision_));
    });
  }

  void perform(const config::WatchManifests &Each) {
    Platform_.watch(
        ManifestKind, Given_.Environment_, Each.After_, WatchTime,
        [this](WatchResult In) {
          std::visit(
              Overloaded{[this](const Listing &Read) {
                           takeManifests(Read.Items_);
                           run(Follower_.onWatched(Read.Revision_));
                         },
                         [this](const TooOld &) { run(Follower_.onTooOld()); },
                         [this](const Unavailable &) {
                           run(Follower_.onWatched(std::nullopt));
                         }},
              In);
        });
  }

  void perform(const config::ReadManifest &) {
    Platform_.get(ManifestKind, Given_.Environment_, [this](GetResult In) {
      if (const Object *Read = std::get_if<Object>(&In))
        run(Follower_.onManifest(Read->Value_));
      run(Follower_.onRead(!std::holds_alternative<Unavailable>(In)));
    });
  }

  void perform(const config::ReadPart &Each) {
    const config::PartId Id = Each.Id_;
    Platform_.get(PartKind, Given_.Environment_ + "." + Id.value(),
                  [this, Id](GetResult In) {
                    const Object *Read = std::get_if<Object>(&In);
                    run(Follower_.onPart(Id, Read ? std::optional(Read->Value_)
                                                  : std::nullopt));
                  });
  }

  void perform(const config::Pull &Each) {
    const EntryName From = Each.From_;
    const auto Address = Addresses_.find(From);
    if (Address == Addresses_.end()) {
      asio::post(Io_,
                 [this, From] { run(Follower_.onPulled(From, std::nullopt)); });
      return;
    }
    Pulls_.add();
    net::HttpRequest Request;
    Request.Target_ = ConfigPath + "?environment=" + Given_.Environment_ +
                      "&have=" + std::to_string(Each.Have_.value());
    const std::string Target = Request.Target_;
    Request.Headers_.add(wire::SealHeader, Seal_.sign("GET", Target, {}));
    Peers_.send({Address->second, Given_.Ports_.Config_}, std::move(Request),
                Each.Have_ == ConfigVersion(0) ? WholePullTimeout : PullTimeout,
                [this, From, Target](std::optional<net::HttpResponse> Answer,
                                     const std::string &) {
                  onPulled(From, Target, Answer);
                });
  }

  /// Configuration between entries is part of the control bytes.
  void countReceived(std::uint64_t Bytes) {
    PulledBytes_.add(Bytes);
    ControlIn_.add(Bytes);
  }

  void countServed(std::uint64_t Bytes) {
    ServedBytes_.add(Bytes);
    ControlOut_.add(Bytes);
  }

  /// The answer is From's own.
  bool isSealed(const EntryName &From, const std::string &Target,
                const net::HttpResponse &Answer) {
    const std::string Header =
        Answer.Headers_.find(wire::SealHeader).value_or("");
    if (Seal_.verify(Header, std::to_string(Answer.Status_), Target,
                     Answer.Body_) == From)
      return true;
    Log_.warn("pull_refused",
              {{"from", From.value()}, {"reason", Seal_.lastReason()}});
    return false;
  }

  void onPulled(const EntryName &From, const std::string &Target,
                std::optional<net::HttpResponse> Answer) {
    countReceived(internal::ExchangeBytes);
    if (Answer)
      countReceived(Answer->Body_.size());
    if (Answer && !isSealed(From, Target, *Answer))
      Answer.reset();
    if (Answer && Answer->Status_ == 200)
      return run(Follower_.onPulled(From, Answer->Body_));
    if (Answer && Answer->Status_ == 304)
      return run(Follower_.onPulled(From, std::string()));
    FailedPulls_.add();
    run(Follower_.onPulled(From, std::nullopt));
  }

  void perform(const config::Publish &Each) {
    for (internal::Outbox &Box : Outboxes_)
      Box.put(Each.Document_);
    const auto Version = Each.Document_->Version_.value();
    VersionGauge_.set(static_cast<std::int64_t>(Version));
    Adopted_.add();
    Log_.info("config_in_force", {{"environment", Given_.Environment_},
                                  {"version", Version},
                                  {"digest", Each.Document_->Digest_}});
  }

  void perform(const config::Tell &Each) {
    const wire::ConfigNotice Notice{Each.Version_, false};
    if (!ToPeers_.push({Each.To_, Notice}))
      Log_.warn("notice_dropped", {{"to", Each.To_.value()}});
  }

  void perform(const config::TellPlatformLost &Each) {
    Log_.warn("platform_lost");
    const wire::ConfigNotice Notice{Each.Version_, true};
    if (!ToPeers_.push({std::nullopt, Notice}))
      Log_.warn("notice_dropped", {{"to", "all"}});
  }

  void perform(const config::Reject &Each) {
    Rejected_.add();
    Log_.warn("config_rejected", {{"reason", Each.Reason_}});
  }

  void runStatus() {
    const std::optional<config::StatusAction> Next =
        Status_.onTick(Follower_.leads(), Follower_.versions());
    if (Next)
      std::visit([this](const auto &Action) { perform(Action); }, *Next);
  }

  [[nodiscard]] std::string statusName() const {
    return Given_.Environment_ + "." + Given_.Domain_.value();
  }

  void perform(const config::ReadStatus &) {
    Platform_.get(StatusKind, statusName(), [this](GetResult In) {
      std::visit(Overloaded{[this](const Object &Read) {
                              Status_.onRead(Read.Version_, Read.Value_);
                            },
                            [this](const Absent &) { Status_.onRead(0, {}); },
                            [this](const Unavailable &) { Status_.onLost(); }},
                 In);
    });
  }

  void perform(const config::WriteStatus &Each) {
    Platform_.put(StatusKind, statusName(), Each.Text_, Each.IfVersion_,
                  [this](PutResult In) {
                    if (const Stored *Done = std::get_if<Stored>(&In))
                      Status_.onStored(Done->Version_);
                    else
                      Status_.onLost();
                  });
  }

  net::HttpResponse serve(const net::HttpRequest &Request) {
    if (Request.path() != ConfigPath || Request.Method_ != "GET")
      return {404, {}, "not found\n"};
    const std::string Header =
        Request.Headers_.find(wire::SealHeader).value_or("");
    if (!Seal_.verify(Header, "GET", Request.Target_, Request.Body_)) {
      Unsealed_.add();
      return {403, {}, Seal_.lastReason() + "\n"};
    }
    net::HttpResponse Out = answer(Request);
    Out.Headers_.add(wire::SealHeader, Seal_.sign(std::to_string(Out.Status_),
                                                  Request.Target_, Out.Body_));
    countServed(internal::ExchangeBytes + Out.Body_.size());
    return Out;
  }

  [[nodiscard]] net::HttpResponse
  answer(const net::HttpRequest &Request) const {
    if (Request.query("environment") != Given_.Environment_)
      return {404, {}, "another environment\n"};
    const auto Have = toNumber(Request.query("have").value_or("0"));
    if (!Have)
      return {400, {}, "have is not a number\n"};
    std::string Text = Follower_.answer(ConfigVersion(*Have));
    if (Text.empty())
      return {304, {}, {}};
    return {200, {}, std::move(Text)};
  }

  const config::Settings Given_;
  telemetry::EventLog &Log_;
  Mailbox<membership::ViewPtr> &Views_;
  Mailbox<wire::Incoming> &Messages_;
  Mailbox<wire::Outgoing> &ToPeers_;
  std::array<internal::Outbox, 3> Outboxes_;

  asio::io_context Io_;
  Client Platform_;
  net::HttpClient Peers_;
  net::HttpServer Server_;
  wire::HttpSeal Seal_;
  asio::steady_timer Timer_;
  asio::posix::stream_descriptor ViewWake_;
  asio::posix::stream_descriptor MessageWake_;

  config::Follower Follower_;
  config::StatusKeeper Status_;
  std::map<EntryName, Ipv4> Addresses_;

  telemetry::Gauge &VersionGauge_;
  telemetry::Counter &Adopted_;
  telemetry::Counter &Rejected_;
  telemetry::Gauge &Watching_;
  telemetry::Counter &PulledBytes_;
  telemetry::Counter &ServedBytes_;
  telemetry::Counter &Pulls_;
  telemetry::Counter &Unsealed_;
  telemetry::Counter &FailedPulls_;
  telemetry::Counter &ControlIn_;
  telemetry::Counter &ControlOut_;
  telemetry::Counter &Ticks_;

  std::string Reason_;
  std::thread Thread_;
};

ConfigThread::ConfigThread(
    const config::Settings &Given, Mailbox<config::InForcePtr> &ToFlow,
    Mailbox<config::InForcePtr> &ToRequests,
    Mailbox<config::InForcePtr> &ToControl, Mailbox<membership::ViewPtr> &Views,
    Mailbox<wire::Incoming> &Messages, Mailbox<wire::Outgoing> &ToPeers,
    Clock Time, telemetry::Registry &Metrics, telemetry::EventLog &Log)
    : Impl_(std::make_unique<Impl>(Given, ToFlow, ToRequests, ToControl, Views,
                                   Messages, ToPeers, Time, Metrics, Log)) {}

ConfigThread::~ConfigThread() = default;

bool ConfigThread::start() { return Impl_->start(); }

void ConfigThread::stop() { Impl_->stop(); }

const std::string &ConfigThread::lastReason() const noexcept {
  return Impl_->reason();
}

} // namespace medlarmoor::platform
