#include <medlarmoor/config/follower.hpp>
#include <medlarmoor/config/status_writer.hpp>
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

constexpr Millis TickInterval{50};
/// Time limit of a call to the platform; a slow platform still answers within
/// this.
constexpr Millis PlatformTimeout{2000};
/// How long one watch waits for a change.
constexpr Millis WatchWait{10'000};
constexpr Millis PullTimeout{800};
/// Time limit of a pull of a complete document, which may be large.
constexpr Millis FullPullTimeout{4000};
const std::string ManifestKind = "manifest";
const std::string PartKind = "part";
const std::string StatusKind = "status";
const std::string ConfigPath = "/internal/config";

std::optional<std::uint64_t> toNumber(const std::optional<std::string> &Text) {
  std::uint64_t Number = 0;
  if (!Text)
    return std::nullopt;
  const char *Last = Text->data() + Text->size();
  const auto [End, Code] = std::from_chars(Text->data(), Last, Number);
  if (Code != std::errc() || End != Last)
    return std::nullopt;
  return Number;
}

Incarnation makeIncarnation(const Clock &Time) {
  Random RandomSource(std::random_device{}());
  return wire::drawIncarnation(Time.wallNow(), RandomSource);
}

} // namespace

class ConfigThread::Impl {
public:
  Impl(const config::Settings &Settings,
       Mailbox<config::ActiveConfigPtr> &ToFlow,
       Mailbox<config::ActiveConfigPtr> &ToRequests,
       Mailbox<config::ActiveConfigPtr> &ToControl,
       Mailbox<membership::ViewPtr> &Views, Mailbox<wire::Incoming> &Messages,
       Mailbox<wire::Outgoing> &ToPeers, const Clock &Time,
       telemetry::Registry &Metrics, telemetry::EventLog &Log)
      : Settings_(Settings), Log_(Log), Views_(Views), Messages_(Messages),
        ToPeers_(ToPeers), Outboxes_{internal::Outbox(ToFlow),
                                     internal::Outbox(ToRequests),
                                     internal::Outbox(ToControl)},
        Platform_(Io_, Settings.Platform_, Settings.Address_, PlatformTimeout,
                  Metrics),
        Peers_(Io_, Settings.Address_),
        Server_(Io_, {Settings.Address_, Settings.Ports_.Config_},
                [this](net::HttpRequest Request, const net::HttpReply &Reply) {
                  Reply(serve(Request));
                }),
        Seal_(Settings.Name_, makeIncarnation(Time),
              wire::KeyRing(Settings.Keys_), Time),
        Timer_(Io_), ViewWake_(Io_), MessageWake_(Io_),
        Follower_(Settings.Environment_, Settings.Name_, Time,
                  Random(std::random_device()())),
        Status_(Settings.Name_, Time),
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
      LastReason_ = Server_.lastReason();
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

  [[nodiscard]] const std::string &lastReason() const noexcept {
    return LastReason_;
  }

private:
  void tick() {
    Ticks_.add();
    for (internal::Outbox &Outbox : Outboxes_)
      Outbox.flush();
    run(Follower_.onTick());
    runStatus();
    Watching_.set(Follower_.watches() ? 1 : 0);
    Timer_.expires_after(TickInterval);
    Timer_.async_wait([this](Error Code) {
      if (!Code)
        tick();
    });
  }

  void waitForViews() {
    ViewWake_.async_wait(asio::posix::descriptor_base::wait_read,
                         [this](Error Code) {
                           if (Code)
                             return;
                           Views_.clearWake();
                           while (auto View = Views_.pop())
                             onView(**View);
                           waitForViews();
                         });
  }

  void waitForMessages() {
    MessageWake_.async_wait(asio::posix::descriptor_base::wait_read,
                            [this](Error Code) {
                              if (Code)
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
    for (const membership::Member &Listed : View.members()) {
      Addresses_[Listed.Name_] = Listed.Address_;
      if (Listed.State_ == membership::MemberState::Live)
        Live.push_back(Listed.Name_);
    }
    run(Follower_.onMembers(std::move(Live)));
  }

  void onMessage(const wire::Incoming &Message) {
    std::visit(
        Overloaded{[&](const wire::Heartbeat &Heartbeat) {
                     run(Follower_.onHeartbeat(Message.From_,
                                               Heartbeat.Config_));
                   },
                   [&](const wire::ConfigNotice &Notice) {
                     if (Notice.PlatformLost_)
                       run(Follower_.onPlatformLost(Message.From_));
                     run(Follower_.onNotice(Message.From_, Notice.Version_));
                   },
                   [](const auto &) {}},
        Message.Message_);
  }

  void run(const config::FollowerActions &Actions) {
    for (const config::FollowerAction &Action : Actions)
      std::visit([this](const auto &Alternative) { perform(Alternative); },
                 Action);
  }

  /// Passes the manifest of this environment to the follower if it is among
  /// Items.
  void handleManifests(const std::vector<Object> &Items) {
    for (const Object &Item : Items)
      if (Item.Name_ == Settings_.Environment_ && !Item.Deleted_)
        run(Follower_.onManifest(Item.Value_));
  }

  void perform(const config::ListManifests &) {
    Platform_.list(ManifestKind, Settings_.Environment_,
                   [this](ListResult Result) {
                     const Listing *Read = std::get_if<Listing>(&Result);
                     if (!Read)
                       return run(Follower_.onListEnd(std::nullopt));
                     handleManifests(Read->Items_);
                     run(Follower_.onListEnd(Read->Revision_));
                   });
  }

  void perform(const config::WatchManifests &Action) {
    Platform_.watch(
        ManifestKind, Settings_.Environment_, Action.AfterRevision_, WatchWait,
        [this](WatchResult Result) {
          std::visit(Overloaded{[this](const Listing &Read) {
                                  handleManifests(Read.Items_);
                                  run(Follower_.onWatchEnd(Read.Revision_));
                                },
                                [this](const TooOld &) {
                                  run(Follower_.onWatchExpired());
                                },
                                [this](const Unavailable &) {
                                  run(Follower_.onWatchEnd(std::nullopt));
                                }},
                     Result);
        });
  }

  void perform(const config::ReadManifest &) {
    Platform_.get(ManifestKind, Settings_.Environment_,
                  [this](GetResult Result) {
                    if (const Object *Read = std::get_if<Object>(&Result))
                      run(Follower_.onManifest(Read->Value_));
                    run(Follower_.onReadEnd(
                        !std::holds_alternative<Unavailable>(Result)));
                  });
  }

  void perform(const config::ReadPart &Action) {
    const config::PartId Id = Action.Id_;
    Platform_.get(PartKind, Settings_.Environment_ + "." + Id.value(),
                  [this, Id](GetResult Result) {
                    const Object *Read = std::get_if<Object>(&Result);
                    run(Follower_.onPart(Id, Read ? std::optional(Read->Value_)
                                                  : std::nullopt));
                  });
  }

  void perform(const config::Pull &Action) {
    const EntryName From = Action.From_;
    const auto Address = Addresses_.find(From);
    if (Address == Addresses_.end()) {
      asio::post(
          Io_, [this, From] { run(Follower_.onPullEnd(From, std::nullopt)); });
      return;
    }
    Pulls_.add();
    net::HttpRequest Request;
    Request.Target_ = ConfigPath + "?environment=" + Settings_.Environment_ +
                      "&have=" + std::to_string(Action.HeldVersion_.value());
    const std::string Target = Request.Target_;
    Request.Headers_.add(wire::SealHeader, Seal_.sign("GET", Target, {}));
    Peers_.send({Address->second, Settings_.Ports_.Config_}, std::move(Request),
                Action.HeldVersion_ == ConfigVersion(0) ? FullPullTimeout
                                                        : PullTimeout,
                [this, From, Target](std::optional<net::HttpResponse> Answer,
                                     const std::string &) {
                  onPulled(From, Target, Answer);
                });
  }

  /// Counts bytes of configuration received from neighbours, which are also
  /// control bytes.
  void countReceived(std::uint64_t Bytes) {
    PulledBytes_.add(Bytes);
    ControlIn_.add(Bytes);
  }

  void countServed(std::uint64_t Bytes) {
    ServedBytes_.add(Bytes);
    ControlOut_.add(Bytes);
  }

  /// Returns true if the answer carries a valid seal of From; logs the reason
  /// if it does not.
  bool isSealedBy(const EntryName &From, const std::string &Target,
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
    if (Answer && !isSealedBy(From, Target, *Answer))
      Answer.reset();
    if (Answer && Answer->Status_ == 200)
      return run(Follower_.onPullEnd(From, Answer->Body_));
    if (Answer && Answer->Status_ == 304)
      return run(Follower_.onPullEnd(From, std::string()));
    FailedPulls_.add();
    run(Follower_.onPullEnd(From, std::nullopt));
  }

  void perform(const config::Publish &Action) {
    for (internal::Outbox &Outbox : Outboxes_)
      Outbox.put(Action.Document_);
    const auto Version = Action.Document_->Version_.value();
    VersionGauge_.set(static_cast<std::int64_t>(Version));
    Adopted_.add();
    Log_.info("config_in_force", {{"environment", Settings_.Environment_},
                                  {"version", Version},
                                  {"digest", Action.Document_->Digest_}});
  }

  void perform(const config::NotifyMember &Action) {
    const wire::ConfigNotice Notice{Action.Version_, false};
    if (!ToPeers_.push({Action.Recipient_, Notice}))
      Log_.warn("notice_dropped", {{"to", Action.Recipient_.value()}});
  }

  void perform(const config::AnnouncePlatformLoss &Action) {
    Log_.warn("platform_lost");
    const wire::ConfigNotice Notice{Action.Version_, true};
    if (!ToPeers_.push({std::nullopt, Notice}))
      Log_.warn("notice_dropped", {{"to", "all"}});
  }

  void perform(const config::ReportRejection &Action) {
    Rejected_.add();
    Log_.warn("config_rejected", {{"reason", Action.Reason_}});
  }

  void runStatus() {
    const std::optional<config::StatusAction> Next =
        Status_.onTick(Follower_.leads(), Follower_.versions());
    if (Next)
      std::visit([this](const auto &Alternative) { perform(Alternative); },
                 *Next);
  }

  [[nodiscard]] std::string statusName() const {
    return Settings_.Environment_ + "." + Settings_.Domain_.value();
  }

  void perform(const config::ReadStatus &) {
    Platform_.get(StatusKind, statusName(), [this](GetResult Result) {
      std::visit(
          Overloaded{[this](const Object &Read) {
                       Status_.onReadEnd(Read.Version_, Read.Value_);
                     },
                     [this](const Absent &) { Status_.onReadEnd(0, {}); },
                     [this](const Unavailable &) { Status_.onCallFailed(); }},
          Result);
    });
  }

  void perform(const config::WriteStatus &Action) {
    Platform_.put(StatusKind, statusName(), Action.Text_, Action.IfVersion_,
                  [this](PutResult Result) {
                    if (const Stored *Done = std::get_if<Stored>(&Result))
                      Status_.onStored(Done->Version_);
                    else
                      Status_.onCallFailed();
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
    net::HttpResponse Response = answer(Request);
    Response.Headers_.add(wire::SealHeader,
                          Seal_.sign(std::to_string(Response.Status_),
                                     Request.Target_, Response.Body_));
    countServed(internal::ExchangeBytes + Response.Body_.size());
    return Response;
  }

  [[nodiscard]] net::HttpResponse
  answer(const net::HttpRequest &Request) const {
    if (Request.query("environment") != Settings_.Environment_)
      return {404, {}, "this entry serves another environment\n"};
    const auto Have = toNumber(Request.query("have").value_or("0"));
    if (!Have)
      return {400, {}, "the query parameter \"have\" is not a number\n"};
    std::string Text = Follower_.pullAnswer(ConfigVersion(*Have));
    if (Text.empty())
      return {304, {}, {}};
    return {200, {}, std::move(Text)};
  }

  const config::Settings Settings_;
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
  config::StatusWriter Status_;
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

  std::string LastReason_;
  std::thread Thread_;
};

ConfigThread::ConfigThread(const config::Settings &Settings,
                           Mailbox<config::ActiveConfigPtr> &ToFlow,
                           Mailbox<config::ActiveConfigPtr> &ToRequests,
                           Mailbox<config::ActiveConfigPtr> &ToControl,
                           Mailbox<membership::ViewPtr> &Views,
                           Mailbox<wire::Incoming> &Messages,
                           Mailbox<wire::Outgoing> &ToPeers, Clock Time,
                           telemetry::Registry &Metrics,
                           telemetry::EventLog &Log)
    : Impl_(std::make_unique<Impl>(Settings, ToFlow, ToRequests, ToControl,
                                   Views, Messages, ToPeers, Time, Metrics,
                                   Log)) {}

ConfigThread::~ConfigThread() = default;

bool ConfigThread::start() { return Impl_->start(); }

void ConfigThread::stop() { Impl_->stop(); }

const std::string &ConfigThread::lastReason() const noexcept {
  return Impl_->lastReason();
}

} // namespace medlarmoor::platform
