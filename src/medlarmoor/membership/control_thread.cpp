#include <medlarmoor/config/in_force.hpp>
#include <medlarmoor/config/settings.hpp>
#include <medlarmoor/core/overloaded.hpp>
#include <medlarmoor/membership/control_thread.hpp>
#include <medlarmoor/membership/internal_control_meters.hpp>
#include <medlarmoor/membership/internal_list_reader.hpp>
#include <medlarmoor/membership/mesh.hpp>
#include <medlarmoor/net/http_client.hpp>
#include <medlarmoor/net/udp_socket.hpp>
#include <medlarmoor/telemetry/event_log.hpp>
#include <medlarmoor/telemetry/registry.hpp>
#include <medlarmoor/wire/incarnation.hpp>
#include <medlarmoor/wire/sealer.hpp>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <mutex>
#include <thread>

namespace medlarmoor::membership {

namespace {

namespace asio = boost::asio;
using Error = boost::system::error_code;

constexpr std::size_t DatagramBytes = 65'536;
/// IP and UDP header, counted as control bytes.
constexpr std::uint64_t HeaderBytes = 28;
constexpr Millis ListTimeout{1000};
/// Datagrams read in one go before timers get their turn.
constexpr int ReadBurst = 512;

Random seeded() {
  std::random_device Device;
  return Random((std::uint64_t{Device()} << 32U) | Device());
}

std::vector<ListedInstance> seeds(const config::Settings &Settings) {
  std::vector<ListedInstance> Out;
  for (const config::Neighbour &Each : Settings.Neighbours_)
    Out.push_back({Each.Name_, Each.Address_});
  return Out;
}

} // namespace

class ControlThread::Impl {
public:
  Impl(const config::Settings &Settings, ControlMailboxes Mailboxes, Clock Time,
       telemetry::Registry &Metrics, telemetry::EventLog &Events);

  bool start();
  void stop();
  void leave();
  void farewell();
  ControlStatus status() const;
  const std::string &reason() const noexcept { return Reason_; }

private:
  void run();
  void scheduleTick();
  void onTick();
  void watchSocket();
  void drainSocket();
  template <typename T, typename Take>
  void watchMailbox(asio::posix::stream_descriptor &Wake, Mailbox<T> &From,
                    Take Handle);
  void onDatagram(std::span<const std::byte> Bytes);
  void route(wire::Incoming Each);
  void perform(const Actions &Asked);
  void send(const Send &Each);
  void sendFor(const wire::Outgoing &Each);
  void sendTo(std::span<const Ipv4> To, const wire::Message &Each);
  void dropWaiting();
  void publish(const ViewPtr &Next);
  void pushViews();
  void readList();
  void onConfig(const config::InForcePtr &Next);
  void note();

  const config::Settings &Settings_;
  ControlMailboxes Mailboxes_;
  Clock Time_;
  telemetry::EventLog &Events_;
  Random Source_ = seeded();
  Mesh Mesh_;
  wire::Sealer Sealer_;

  asio::io_context Io_;
  asio::steady_timer Timer_{Io_};
  net::HttpClient Http_;
  net::UdpSocket Socket_;
  asio::posix::stream_descriptor SocketWake_{Io_};
  asio::posix::stream_descriptor ConfigWake_{Io_};
  asio::posix::stream_descriptor FlowWake_{Io_};
  asio::posix::stream_descriptor NoticeWake_{Io_};
  std::thread Thread_;
  std::string Reason_;
  std::vector<std::byte> Buffer_ = std::vector<std::byte>(DatagramBytes);

  std::array<bool, 3> ViewDue_{};
  EntryState LastState_ = EntryState::Starting;
  config::InForcePtr InForce_;
  internal::ControlMeters Count_;
  TimePoint TickDue_;

  mutable std::mutex StatusLock_;
  ControlStatus Status_;
};

ControlThread::Impl::Impl(const config::Settings &Settings,
                          ControlMailboxes Mailboxes, Clock Time,
                          telemetry::Registry &Metrics,
                          telemetry::EventLog &Events)
    : Settings_(Settings), Mailboxes_(Mailboxes), Time_(Time), Events_(Events),
      Mesh_(Settings.Name_, Settings.Advertise_, Settings.Membership_,
            wire::drawIncarnation(Time.wallNow(), Source_), Time,
            Random(Source_()), seeds(Settings)),
      Sealer_(Settings.Name_, Mesh_.incarnation(),
              wire::KeyRing(Settings.Keys_), Time),
      Http_(Io_, Settings.Address_), Count_(Metrics), TickDue_(Time.now()) {}

bool ControlThread::Impl::start() {
  if (!Socket_.open({Settings_.Address_, Settings_.Ports_.Control_})) {
    Reason_ = Socket_.lastReason();
    return false;
  }
  SocketWake_.assign(Socket_.descriptor());
  ConfigWake_.assign(Mailboxes_.FromConfig_.descriptor());
  FlowWake_.assign(Mailboxes_.FromFlow_.descriptor());
  NoticeWake_.assign(Mailboxes_.ConfigMessages_.descriptor());
  Thread_ = std::thread([this] { run(); });
  return true;
}

void ControlThread::Impl::stop() {
  Io_.stop();
  if (Thread_.joinable())
    Thread_.join();
  // The descriptors belong to the socket and to the mailboxes.
  for (auto *Wake : {&SocketWake_, &ConfigWake_, &FlowWake_, &NoticeWake_})
    if (Wake->is_open())
      Wake->release();
}

void ControlThread::Impl::run() {
  watchSocket();
  watchMailbox(ConfigWake_, Mailboxes_.FromConfig_,
               [this](const config::InForcePtr &Next) { onConfig(Next); });
  watchMailbox(FlowWake_, Mailboxes_.FromFlow_,
               [this](const wire::Outgoing &Each) { sendFor(Each); });
  watchMailbox(NoticeWake_, Mailboxes_.ConfigMessages_,
               [this](const wire::Outgoing &Each) { sendFor(Each); });
  onTick();
  Io_.run();
}

void ControlThread::Impl::scheduleTick() {
  TickDue_ = Time_.now() + TickPeriod;
  Timer_.expires_after(TickPeriod);
  Timer_.async_wait([this](Error Failed) {
    if (!Failed)
      onTick();
  });
}

void ControlThread::Impl::onTick() {
  Count_.TickDelay_.record(Time_.now() - TickDue_);
  // What has arrived counts before silence is judged.
  drainSocket();
  perform(Mesh_.tick());
  pushViews();
  note();
  Count_.Ticks_.add();
  scheduleTick();
}

void ControlThread::Impl::watchSocket() {
  SocketWake_.async_wait(asio::posix::stream_descriptor::wait_read,
                         [this](Error Failed) {
                           if (Failed)
                             return;
                           drainSocket();
                           watchSocket();
                         });
}

void ControlThread::Impl::drainSocket() {
  for (int I = 0; I < ReadBurst; ++I) {
    const auto Datagram = Socket_.receive(Buffer_);
    if (!Datagram)
      return;
    Count_.BytesIn_.add(Datagram->Bytes_.size() + HeaderBytes);
    onDatagram(Datagram->Bytes_);
  }
}

template <typename T, typename Take>
void ControlThread::Impl::watchMailbox(asio::posix::stream_descriptor &Wake,
                                       Mailbox<T> &From, Take Handle) {
  Wake.async_wait(asio::posix::stream_descriptor::wait_read,
                  [this, &Wake, &From, Handle](Error Failed) {
                    if (Failed)
                      return;
                    From.clearWake();
                    while (const auto Each = From.pop())
                      Handle(*Each);
                    watchMailbox(Wake, From, Handle);
                  });
}

void ControlThread::Impl::onDatagram(std::span<const std::byte> Bytes) {
  auto Opened = Sealer_.open(Bytes);
  if (!Opened) {
    Count_.refused(Sealer_.lastReason()).add();
    if (!Sealer_.staleSender().value().empty())
      perform(Mesh_.onStaleRun(Sealer_.staleSender()));
    return;
  }
  Count_.Received_.add();
  perform(Mesh_.onMessage(*Opened));
  route(std::move(*Opened));
}

void ControlThread::Impl::route(wire::Incoming Each) {
  Mailbox<wire::Incoming> *To = nullptr;
  if (std::holds_alternative<wire::FlowUpdate>(Each.Message_))
    To = &Mailboxes_.ToFlow_;
  else if (std::holds_alternative<wire::Heartbeat>(Each.Message_) ||
           std::holds_alternative<wire::ConfigNotice>(Each.Message_))
    To = &Mailboxes_.ToConfig_;
  if (To && !To->push(std::move(Each)))
    Count_.MailboxFull_.add();
}

void ControlThread::Impl::perform(const Actions &Asked) {
  for (const Action &Each : Asked)
    std::visit(Overloaded{[this](const Send &What) { send(What); },
                          [this](const Publish &What) { publish(What.View_); },
                          [this](const ReadList &) { readList(); },
                          [this](const Renew &What) {
                            Sealer_.renew(What.Run_);
                            Count_.Renewals_.add();
                            Events_.warn("lease_lapsed",
                                         {{"incarnation", What.Run_.value()}});
                            dropWaiting();
                          }},
               Each);
}

void ControlThread::Impl::send(const Send &Each) {
  sendTo(Each.To_, Each.Message_);
}

void ControlThread::Impl::sendFor(const wire::Outgoing &Each) {
  if (Each.To_) {
    if (const auto Address = Mesh_.address(*Each.To_))
      sendTo(std::array{*Address}, Each.Message_);
    return;
  }
  // In a large domain the heartbeats carry the version to everybody.
  if (std::holds_alternative<wire::ConfigNotice>(Each.Message_) &&
      Mesh_.large())
    return;
  sendTo(Mesh_.others(), Each.Message_);
}

void ControlThread::Impl::sendTo(std::span<const Ipv4> To,
                                 const wire::Message &Each) {
  if (To.empty())
    return;
  const std::vector<std::byte> Bytes = Sealer_.seal(Each);
  for (const Ipv4 Address : To) {
    Socket_.send({Address, Settings_.Ports_.Control_}, Bytes);
    Count_.BytesOut_.add(Bytes.size() + HeaderBytes);
    Count_.Sent_.add();
  }
}

/// What arrived while the process did not run is too old to act on.
void ControlThread::Impl::dropWaiting() {
  while (const auto Datagram = Socket_.receive(Buffer_))
    Count_.BytesIn_.add(Datagram->Bytes_.size() + HeaderBytes);
}

void ControlThread::Impl::publish(const ViewPtr &Next) {
  Events_.info("view_changed",
               {{"view", Next->id().value()},
                {"members", Next->members().size()},
                {"self", Next->find(Settings_.Name_) ? "member" : "outside"}});
  Count_.Members_.set(static_cast<std::int64_t>(Next->members().size()));
  ViewDue_.fill(true);
  pushViews();
}

/// A mailbox that is full gets the newest view later.
void ControlThread::Impl::pushViews() {
  const std::array To{&Mailboxes_.ViewsToFlow_, &Mailboxes_.ViewsToRequests_,
                      &Mailboxes_.ViewsToConfig_};
  for (std::size_t I = 0; I < To.size(); ++I)
    if (ViewDue_[I] && To[I]->push(Mesh_.view()))
      ViewDue_[I] = false;
}

void ControlThread::Impl::readList() {
  Count_.ListReads_.add();
  net::HttpRequest Request;
  Request.Target_ = "/v1/instances?domain=" + Settings_.Domain_.value();
  Http_.send(Settings_.Platform_, std::move(Request), ListTimeout,
             [this](std::optional<net::HttpResponse> Answer,
                    const std::string &Reason) {
               std::optional<std::vector<ListedInstance>> List;
               if (Answer && Answer->Status_ == 200)
                 List = internal::parseInstances(Answer->Body_);
               if (Answer)
                 Count_.BytesIn_.add(Answer->Body_.size());
               if (!List) {
                 Count_.ListFailures_.add();
                 Events_.debug("list_unread", {{"reason", Reason}});
               }
               perform(Mesh_.onList(List));
             });
}

void ControlThread::Impl::onConfig(const config::InForcePtr &Next) {
  if (!Next)
    return;
  InForce_ = Next;
  Mesh_.setConfig(Next->Version_);
}

/// Keeps what other threads may ask for, and logs a change of state.
void ControlThread::Impl::note() {
  const EntryState State = Mesh_.state();
  if (State != LastState_)
    Events_.info("entry_state",
                 {{"from", text(LastState_)}, {"to", text(State)}});
  LastState_ = State;
  Count_.Disagreements_.set(
      static_cast<std::int64_t>(Mesh_.listDisagreements()));
  const std::lock_guard Guard(StatusLock_);
  Status_ = {State,
             Mesh_.incarnation(),
             Mesh_.view(),
             InForce_,
             Mesh_.listDisagreements(),
             Time_.now(),
             Mesh_.leaseValid()};
}

void ControlThread::Impl::leave() {
  asio::post(Io_, [this] {
    perform(Mesh_.leave());
    note();
  });
}

void ControlThread::Impl::farewell() {
  asio::post(Io_, [this] {
    perform(Mesh_.farewell());
    note();
  });
}

ControlStatus ControlThread::Impl::status() const {
  const std::lock_guard Guard(StatusLock_);
  return Status_;
}

ControlThread::ControlThread(const config::Settings &Settings,
                             ControlMailboxes Mailboxes, Clock Time,
                             telemetry::Registry &Metrics,
                             telemetry::EventLog &Events)
    : Impl_(std::make_unique<Impl>(Settings, Mailboxes, std::move(Time),
                                   Metrics, Events)) {}

ControlThread::~ControlThread() { stop(); }

bool ControlThread::start() { return Impl_->start(); }

void ControlThread::stop() { Impl_->stop(); }

const std::string &ControlThread::lastReason() const noexcept {
  return Impl_->reason();
}

void ControlThread::leave() { Impl_->leave(); }

void ControlThread::farewell() { Impl_->farewell(); }

ControlStatus ControlThread::status() const { return Impl_->status(); }

} // namespace medlarmoor::membership
