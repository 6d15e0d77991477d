#include <medlarmoor/core/overloaded.hpp>
#include <medlarmoor/flow/flow_thread.hpp>

#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <algorithm>
#include <cstring>
#include <random>

namespace medlarmoor::flow {

namespace {

/// Maximum number of batches received from one socket before the other sockets
/// and the mailboxes are served.
constexpr int MaxBatchesPerTurn = 8;
/// The error text of explain() states this time.
constexpr Millis ExplainTimeout = Seconds(2);

Random seededRandom() {
  std::random_device Device;
  return Random((std::uint64_t{Device()} << 32U) | Device());
}

/// Writes Header directly in front of Inner and returns the two as one
/// datagram. There must be Size free bytes before Inner.
template <std::size_t Size>
std::span<std::byte> prepend(const std::array<std::byte, Size> &Header,
                             std::span<std::byte> Inner) noexcept {
  std::byte *Start = Inner.data() - Size;
  std::memcpy(Start, Header.data(), Size);
  return {Start, Inner.size() + Size};
}

} // namespace

FlowThread::FlowThread(const config::Settings &Settings,
                       Mailbox<config::ActiveConfigPtr> &FromConfig,
                       Mailbox<membership::ViewPtr> &Views,
                       Mailbox<wire::Incoming> &FromControl,
                       Mailbox<wire::Outgoing> &ToControl, Clock Time,
                       telemetry::Registry &Metrics,
                       telemetry::EventLog &Events)
    : Settings_(Settings), FromConfig_(FromConfig), Views_(Views),
      FromControl_(FromControl), ToControl_(ToControl), Clock_(Time),
      Events_(Events), Metrics_(Metrics),
      Director_(Settings, Time, seededRandom()),
      Epoll_(epoll_create1(EPOLL_CLOEXEC)),
      Wake_(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {}

FlowThread::~FlowThread() {
  stop();
  close(Wake_);
  close(Epoll_);
}

bool FlowThread::start() {
  const config::Ports &Ports = Settings_.Ports_;
  for (auto [Socket, Port] : {std::pair(&FlowSocket_, Ports.Flow_),
                              std::pair(&PeerSocket_, Ports.Peer_)}) {
    if (Socket->open({Settings_.Address_, Port}))
      continue;
    LastReason_ = Socket->lastReason();
    return false;
  }
  for (const int Descriptor :
       {FlowSocket_.descriptor(), PeerSocket_.descriptor(), Wake_,
        FromConfig_.descriptor(), Views_.descriptor(),
        FromControl_.descriptor()})
    watch(Descriptor);
  Thread_ = std::thread([this] { run(); });
  return true;
}

void FlowThread::stop() {
  if (!Thread_.joinable())
    return;
  StopRequested_ = true;
  wake();
  Thread_.join();
}

void FlowThread::leave() {
  LeaveRequested_ = true;
  wake();
}

std::string FlowThread::explain(std::string Flow) {
  std::future<std::string> Answer;
  {
    const std::lock_guard Guard(ExplainLock_);
    ExplainRequests_.push_back({std::move(Flow), {}});
    Answer = ExplainRequests_.back().Answer_.get_future();
  }
  wake();
  if (Answer.wait_for(ExplainTimeout) != std::future_status::ready)
    return R"({"error":"the flow thread did not answer within 2 s"})";
  return Answer.get();
}

void FlowThread::watch(int Descriptor) {
  epoll_event Event{};
  Event.events = EPOLLIN;
  Event.data.fd = Descriptor;
  epoll_ctl(Epoll_, EPOLL_CTL_ADD, Descriptor, &Event);
}

void FlowThread::wake() noexcept {
  const std::uint64_t One = 1;
  [[maybe_unused]] const ssize_t Written = write(Wake_, &One, sizeof(One));
}

void FlowThread::clearWake() noexcept {
  std::uint64_t Count = 0;
  [[maybe_unused]] const ssize_t Read = read(Wake_, &Count, sizeof(Count));
}

void FlowThread::run() {
  NextTickAt_ = Clock_.now();
  while (!StopRequested_) {
    epoll_event ReadyEvents[8];
    const auto Wait = std::chrono::ceil<Millis>(NextTickAt_ - Clock_.now());
    epoll_wait(
        Epoll_, ReadyEvents, 8,
        static_cast<int>(std::clamp<std::int64_t>(Wait.count(), 0, 100)));
    clearWake();
    const bool WasSuspended = Director_.suspended();
    Director_.readClock();
    if (Director_.suspended() && !WasSuspended) {
      Events_.warn("flow_suspended", {{"entry", Settings_.Name_.value()}});
      HeldUntil_ = Clock_.now() + Settings_.Membership_.Lease_;
    }
    processMailboxes();
    receivePackets(FlowSocket_, false);
    receivePackets(PeerSocket_, true);
    answerExplainRequests();
    tickWhenDue();
    Metrics_.publish();
  }
}

void FlowThread::processMailboxes() {
  processViews();
  FromConfig_.clearWake();
  while (const auto Document = FromConfig_.pop()) {
    Director_.adopt(**Document);
    Events_.info("flow_config", {{"version", (*Document)->Version_.value()}});
  }
  FromControl_.clearWake();
  while (const auto Message = FromControl_.pop())
    Director_.receive(*Message);
  if (LeaveRequested_.exchange(false)) {
    Director_.leave();
    Events_.info("flow_leaving", {{"entry", Settings_.Name_.value()}});
  }
}

/// Adopts new views. A view that is in the mailbox when a pause is detected may
/// have been made before the pause. The first view after a pause is therefore
/// held back: a later view replaces it, and it is adopted only if the lease
/// expires without another.
void FlowThread::processViews() {
  Views_.clearWake();
  const bool MayBeOutdated = Director_.suspended() && Clock_.now() < HeldUntil_;
  while (const auto Next = Views_.pop()) {
    const bool First = MayBeOutdated && !HeldView_;
    HeldView_ = *Next;
    if (!First)
      adoptView(*HeldView_);
  }
  if (HeldView_ && Director_.suspended() && !MayBeOutdated)
    adoptView(*HeldView_);
  if (!MayBeOutdated)
    HeldView_.reset();
}

void FlowThread::adoptView(const membership::View &Members) {
  Director_.adopt(Members);
  Events_.info("flow_view", {{"view", Members.id().value()},
                             {"members", Members.members().size()}});
}

void FlowThread::answerExplainRequests() {
  const std::lock_guard Guard(ExplainLock_);
  for (ExplainRequest &Request : ExplainRequests_)
    Request.Answer_.set_value(Director_.explain(Request.Flow_));
  ExplainRequests_.clear();
}

void FlowThread::tickWhenDue() {
  const TimePoint Now = Clock_.now();
  if (Now >= NextTickAt_) {
    NextTickAt_ = Now + Director::TickPeriod;
    Director_.tick();
    Metrics_.publishTick(Director_);
    HandedOver_ = Director_.handedOver();
    Ready_ = Director_.ready();
  }
  sendMessages();
}

void FlowThread::sendMessages() {
  for (wire::Outgoing &Message : Director_.takeOutgoing())
    if (!ToControl_.push(std::move(Message)))
      Metrics_.countLostMessage();
}

void FlowThread::receivePackets(net::UdpSocket &Socket, bool FromEntry) {
  for (int Batch = 0; Batch < MaxBatchesPerTurn; ++Batch) {
    const std::size_t Count = Received_.receive(Socket.descriptor());
    if (Count == 0)
      return;
    Director_.readClock();
    for (std::size_t I = 0; I < Count; ++I)
      prepare(I, FromEntry);
    for (std::size_t I = 0; I < Count; ++I)
      decide(I, FromEntry);
    flush();
    if (Count < net::BatchPackets)
      return;
  }
}

void FlowThread::prepare(std::size_t Index, bool FromEntry) {
  Metrics_.countReceived(FromEntry);
  PacketJob &Job = Jobs_[Index];
  Job.Inner_ = {};
  const std::span<std::byte> Datagram = Received_.bytes(Index);
  const auto Reject = [&](DropReason Reason) {
    Job.Prepared_.DropReason_ = Reason;
  };
  if (Received_.cut(Index))
    return Reject(DropReason::TruncatedEncapsulation);
  if (FromEntry) {
    const auto Decapsulated = decapsulatePeer(Datagram);
    if (const DropReason *Reason = std::get_if<DropReason>(&Decapsulated))
      return Reject(*Reason);
    Job.Inner_ = std::get_if<PeerPacket>(&Decapsulated)->Inner_;
    Job.Header_ = std::get_if<PeerPacket>(&Decapsulated)->Header_;
  } else {
    const auto Decapsulated = decapsulate(Datagram);
    if (const DropReason *Reason = std::get_if<DropReason>(&Decapsulated))
      return Reject(*Reason);
    Job.Inner_ = *std::get_if<std::span<std::byte>>(&Decapsulated);
  }
  Job.Prepared_ = Director_.prepare(Job.Inner_);
}

void FlowThread::decide(std::size_t Index, bool FromEntry) {
  const PacketJob &Job = Jobs_[Index];
  const Ipv4 From = Received_.from(Index).address();
  execute(FromEntry ? Director_.decide(Job.Prepared_, Job.Header_, From)
                    : Director_.decide(Job.Prepared_),
          Job.Inner_, Index);
}

void FlowThread::execute(const Decision &Action, std::span<std::byte> Inner,
                         std::size_t Index) {
  Metrics_.countDecision(Action);
  std::visit(
      Overloaded{
          [&](const ToUpstream &Target) {
            ToUpstreams_.add(Target.To_, prepend(gueHeader(), Inner));
          },
          [&](const ToEntry &Target) {
            ToEntries_.add({Target.To_, Settings_.Ports_.Peer_},
                           prepend(peerGueHeader(Target.Header_), Inner));
          },
          [&](const Refuse &Refusal) {
            auto &Datagram = Resets_[Index];
            const auto Header = gueHeader();
            const auto Reset = buildReset(Refusal.FirstPacket_);
            std::copy(Header.begin(), Header.end(), Datagram.begin());
            std::copy(Reset.begin(), Reset.end(), Datagram.begin() + GueBytes);
            ToUpstreams_.add(
                {Refusal.FirstPacket_.Source_.address(), CallerPort}, Datagram);
          },
          [](const Drop &) {},
      },
      Action);
}

void FlowThread::flush() {
  std::size_t Unsent = ToUpstreams_.flush(FlowSocket_.descriptor());
  Unsent += ToEntries_.flush(PeerSocket_.descriptor());
  Metrics_.countUnsent(Unsent);
}

} // namespace medlarmoor::flow
