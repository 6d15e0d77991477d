#include <medlarmoor/config/active_config.hpp>
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

constexpr std::size_t MaxDatagramBytes = 65'536;
/// Length of the IPv4 and UDP headers, which count as control bytes.
constexpr std::uint64_t HeaderBytes = 28;
constexpr Millis ListTimeout{1000};
/// The maximum number of datagrams that are read in a row before timers run.
constexpr int ReadBurst = 512;

Random randomlySeeded() {
  std::random_device Device;
  return Random((std::uint64_t{Device()} << 32U) | Device());
}

std::vector<ListedInstance> seeds(const config::Settings &Settings) {
  std::vector<ListedInstance> Seeds;
  for (const config::Neighbour &Neighbour : Settings.Neighbours_)
    Seeds.push_back({Neighbour.Name_, Neighbour.Address_});
  return Seeds;
}

} // namespace

class ControlThread::Impl {
public:
  Impl(const config::Settings &Settings, ControlMailboxes Mailboxes, Clock Time,
       telemetry::Registry &Metrics, telemetry::EventLog &Events);

  bool start();
  void stop();
  void leave();
  void completeLeave();
  ControlStatus status() const;
  const std::string &reason() const noexcept { return Reason_; }

private:
  void run();
  void scheduleTick();
  void onTick();
  void watchSocket();
  void drainSocket();
  template <typename T, typename Handler>
  void watchMailbox(asio::posix::stream_descriptor &Descriptor,
                    Mailbox<T> &From, Handler Handle);
  void onDatagram(std::span<const std::byte> Bytes);
  void route(wire::Incoming Received);
  void perform(const Actions &Requested);
  void send(const Send &Command);
  void sendOutgoing(const wire::Outgoing &Outgoing);
  void sendTo(std::span<const Ipv4> Targets, const wire::Message &Message);
  void discardWaiting();
  void publish(const ViewPtr &Next);
  void pushViews();
  void readList();
  void onConfig(const config::ActiveConfigPtr &Next);
  void updateStatus();

  const config::Settings &Settings_;
  ControlMailboxes Mailboxes_;
  Clock Time_;
  telemetry::EventLog &Events_;
  Random Source_ = randomlySeeded();
  Mesh Mesh_;
  wire::Sealer Sealer_;

  asio::io_context Io_;
  asio::steady_timer Timer_{Io_};
  net::HttpClient Http_;
  net::UdpSocket Socket_;
  asio::posix::stream_descriptor SocketDescriptor_{Io_};
  asio::posix::stream_descriptor ConfigDescriptor_{Io_};
  asio::posix::stream_descriptor FlowDescriptor_{Io_};
  asio::posix::stream_descriptor NoticeDescriptor_{Io_};
  std::thread Thread_;
  std::string Reason_;
  std::vector<std::byte> Buffer_ = std::vector<std::byte>(MaxDatagramBytes);

  std::array<bool, 3> ViewPending_{};
  EntryState LoggedState_ = EntryState::Starting;
  config::ActiveConfigPtr InForce_;
  internal::ControlMeters Meters_;
  TimePoint TickDue_;

  mutable std::mutex StatusLock_;
  ControlStatus Status_;
};

ControlThread::Impl::Impl(const config::Settings &Settings,
                          ControlMailboxes Mailboxes, Clock Time,
                          telemetry::Registry &Metrics,
                          telemetry::EventLog &Events)
    : Settings_(Settings), Mailboxes_(Mailboxes), Time_(Time), Events_(Events),
      Mesh_(Settings.Name_, Settings.AdvertisedAddress_, Settings.Membership_,
            wire::drawIncarnation(Time.wallNow(), Source_), Time,
            Random(Source_()), seeds(Settings)),
      Sealer_(Settings.Name_, Mesh_.incarnation(),
              wire::KeyRing(Settings.Keys_), Time),
      Http_(Io_, Settings.Address_), Meters_(Metrics), TickDue_(Time.now()) {}

bool ControlThread::Impl::start() {
  if (!Socket_.open({Settings_.Address_, Settings_.Ports_.Control_})) {
    Reason_ = Socket_.lastReason();
    return false;
  }
  SocketDescriptor_.assign(Socket_.descriptor());
  ConfigDescriptor_.assign(Mailboxes_.FromConfig_.descriptor());
  FlowDescriptor_.assign(Mailboxes_.FromFlow_.descriptor());
  NoticeDescriptor_.assign(Mailboxes_.ConfigMessages_.descriptor());
  Thread_ = std::thread([this] { run(); });
  return true;
}

void ControlThread::Impl::stop() {
  Io_.stop();
  if (Thread_.joinable())
    Thread_.join();
  // The socket and the mailboxes own the descriptors.
  for (auto *Descriptor : {&SocketDescriptor_, &ConfigDescriptor_,
                           &FlowDescriptor_, &NoticeDescriptor_})
    if (Descriptor->is_open())
      Descriptor->release();
}

void ControlThread::Impl::run() {
  watchSocket();
  watchMailbox(ConfigDescriptor_, Mailboxes_.FromConfig_,
               [this](const config::ActiveConfigPtr &Next) { onConfig(Next); });
  watchMailbox(
      FlowDescriptor_, Mailboxes_.FromFlow_,
      [this](const wire::Outgoing &Message) { sendOutgoing(Message); });
  watchMailbox(
      NoticeDescriptor_, Mailboxes_.ConfigMessages_,
      [this](const wire::Outgoing &Message) { sendOutgoing(Message); });
  onTick();
  Io_.run();
}

void ControlThread::Impl::scheduleTick() {
  TickDue_ = Time_.now() + TickPeriod;
  Timer_.expires_after(TickPeriod);
  Timer_.async_wait([this](Error Failure) {
    if (!Failure)
      onTick();
  });
}

void ControlThread::Impl::onTick() {
  Meters_.TickDelay_.record(Time_.now() - TickDue_);
  // Handles the datagrams that have arrived before the mesh detects silent
  // peers.
  drainSocket();
  perform(Mesh_.tick());
  pushViews();
  updateStatus();
  Meters_.Ticks_.add();
  scheduleTick();
}

void ControlThread::Impl::watchSocket() {
  SocketDescriptor_.async_wait(asio::posix::stream_descriptor::wait_read,
                               [this](Error Failure) {
                                 if (Failure)
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
    Meters_.BytesReceived_.add(Datagram->Bytes_.size() + HeaderBytes);
    onDatagram(Datagram->Bytes_);
  }
}

template <typename T, typename Handler>
void ControlThread::Impl::watchMailbox(
    asio::posix::stream_descriptor &Descriptor, Mailbox<T> &From,
    Handler Handle) {
  Descriptor.async_wait(asio::posix::stream_descriptor::wait_read,
                        [this, &Descriptor, &From, Handle](Error Failure) {
                          if (Failure)
                            return;
                          From.clearWake();
                          while (const auto Item = From.pop())
                            Handle(*Item);
                          watchMailbox(Descriptor, From, Handle);
                        });
}

void ControlThread::Impl::onDatagram(std::span<const std::byte> Bytes) {
  auto Opened = Sealer_.open(Bytes);
  if (!Opened) {
    Meters_.refused(Sealer_.lastReason()).add();
    if (!Sealer_.staleSender().value().empty())
      perform(Mesh_.onStaleRun(Sealer_.staleSender()));
    return;
  }
  Meters_.MessagesReceived_.add();
  perform(Mesh_.onMessage(*Opened));
  route(std::move(*Opened));
}

void ControlThread::Impl::route(wire::Incoming Received) {
  Mailbox<wire::Incoming> *Receiver = nullptr;
  if (std::holds_alternative<wire::FlowUpdate>(Received.Message_))
    Receiver = &Mailboxes_.ToFlow_;
  else if (std::holds_alternative<wire::Heartbeat>(Received.Message_) ||
           std::holds_alternative<wire::ConfigNotice>(Received.Message_))
    Receiver = &Mailboxes_.ToConfig_;
  if (Receiver && !Receiver->push(std::move(Received)))
    Meters_.MailboxFull_.add();
}

void ControlThread::Impl::perform(const Actions &Requested) {
  for (const Action &Next : Requested)
    std::visit(
        Overloaded{[this](const Send &Command) { send(Command); },
                   [this](const Publish &Command) { publish(Command.View_); },
                   [this](const ReadList &) { readList(); },
                   [this](const ChangeIncarnation &Command) {
                     Sealer_.setIncarnation(Command.Run_);
                     Meters_.LeaseLapses_.add();
                     Events_.warn("lease_lapsed",
                                  {{"incarnation", Command.Run_.value()}});
                     discardWaiting();
                   }},
        Next);
}

void ControlThread::Impl::send(const Send &Command) {
  sendTo(Command.To_, Command.Message_);
}

void ControlThread::Impl::sendOutgoing(const wire::Outgoing &Outgoing) {
  if (Outgoing.To_) {
    if (const auto Address = Mesh_.address(*Outgoing.To_))
      sendTo(std::array{*Address}, Outgoing.Message_);
    return;
  }
  // In a large failure domain the heartbeats carry the version to all members.
  if (std::holds_alternative<wire::ConfigNotice>(Outgoing.Message_) &&
      Mesh_.large())
    return;
  sendTo(Mesh_.otherAddresses(), Outgoing.Message_);
}

void ControlThread::Impl::sendTo(std::span<const Ipv4> Targets,
                                 const wire::Message &Message) {
  if (Targets.empty())
    return;
  const std::vector<std::byte> Bytes = Sealer_.seal(Message);
  for (const Ipv4 Address : Targets) {
    Socket_.send({Address, Settings_.Ports_.Control_}, Bytes);
    Meters_.BytesSent_.add(Bytes.size() + HeaderBytes);
    Meters_.MessagesSent_.add();
  }
}

/// Discards the datagrams that arrived while the process did not run, because
/// they are too old to act on.
void ControlThread::Impl::discardWaiting() {
  while (const auto Datagram = Socket_.receive(Buffer_))
    Meters_.BytesReceived_.add(Datagram->Bytes_.size() + HeaderBytes);
}

void ControlThread::Impl::publish(const ViewPtr &Next) {
  Events_.info("view_changed",
               {{"view", Next->id().value()},
                {"members", Next->members().size()},
                {"self", Next->find(Settings_.Name_) ? "member" : "outside"}});
  Meters_.Members_.set(static_cast<std::int64_t>(Next->members().size()));
  ViewPending_.fill(true);
  pushViews();
}

/// Pushes the current view to the threads that have not received it yet. A full
/// mailbox receives the then newest view at a later tick.
void ControlThread::Impl::pushViews() {
  const std::array Receivers{&Mailboxes_.ViewsToFlow_,
                             &Mailboxes_.ViewsToRequests_,
                             &Mailboxes_.ViewsToConfig_};
  for (std::size_t I = 0; I < Receivers.size(); ++I)
    if (ViewPending_[I] && Receivers[I]->push(Mesh_.view()))
      ViewPending_[I] = false;
}

void ControlThread::Impl::readList() {
  Meters_.ListReads_.add();
  net::HttpRequest Request;
  Request.Target_ = "/v1/instances?domain=" + Settings_.Domain_.value();
  Http_.send(Settings_.Platform_, std::move(Request), ListTimeout,
             [this](std::optional<net::HttpResponse> Response,
                    const std::string &Reason) {
               std::optional<std::vector<ListedInstance>> List;
               if (Response && Response->Status_ == 200)
                 List = internal::parseInstances(Response->Body_);
               if (Response)
                 Meters_.BytesReceived_.add(Response->Body_.size());
               if (!List) {
                 Meters_.ListFailures_.add();
                 Events_.debug("list_unread", {{"reason", Reason}});
               }
               perform(Mesh_.onList(List));
             });
}

void ControlThread::Impl::onConfig(const config::ActiveConfigPtr &Next) {
  if (!Next)
    return;
  InForce_ = Next;
  Mesh_.setConfig(Next->Version_);
}

/// Updates the status that other threads can read, and logs a change of state.
void ControlThread::Impl::updateStatus() {
  const EntryState State = Mesh_.state();
  if (State != LoggedState_)
    Events_.info("entry_state",
                 {{"from", text(LoggedState_)}, {"to", text(State)}});
  LoggedState_ = State;
  Meters_.Disagreements_.set(
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
    updateStatus();
  });
}

void ControlThread::Impl::completeLeave() {
  asio::post(Io_, [this] {
    perform(Mesh_.completeLeave());
    updateStatus();
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

void ControlThread::completeLeave() { Impl_->completeLeave(); }

ControlStatus ControlThread::status() const { return Impl_->status(); }

} // namespace medlarmoor::membership
