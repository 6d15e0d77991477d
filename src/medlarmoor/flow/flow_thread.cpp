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

/// Batches taken from one socket before the others get their turn.
constexpr int BatchesPerTurn = 8;
constexpr Millis ExplainTimeout = Seconds(2);

Random seeded() {
  std::random_device Device;
  return Random((std::uint64_t{Device()} << 32U) | Device());
}

/// Writes the header that belongs directly in front of Inner; the datagram.
template <std::size_t Size>
std::span<std::byte> prepend(const std::array<std::byte, Size> &Header,
                             std::span<std::byte> Inner) noexcept {
  std::byte *Start = Inner.data() - Size;
  std::memcpy(Start, Header.data(), Size);
  return {Start, Inner.size() + Size};
}

} // namespace

FlowThread::FlowThread(const config::Settings &Told,
                       Mailbox<config::InForcePtr> &FromConfig,
                       Mailbox<membership::ViewPtr> &Views,
                       Mailbox<wire::Incoming> &FromControl,
                       Mailbox<wire::Outgoing> &ToControl, Clock Time,
                       telemetry::Registry &Metrics,
                       telemetry::EventLog &Events)
    : Settings_(Told), FromConfig_(FromConfig), Views_(Views),
      FromControl_(FromControl), ToControl_(ToControl), Clock_(Time),
      Events_(Events), Metrics_(Metrics), Director_(Told, Time, seeded()),
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
    Reason_ = Socket->lastReason();
    return false;
  }
  for (const int Each : {FlowSocket_.descriptor(), PeerSocket_.descriptor(),
                         Wake_, FromConfig_.descriptor(), Views_.descriptor(),
                         FromControl_.descriptor()})
    watch(Each);
  Thread_ = std::thread([this] { run(); });
  return true;
}

void FlowThread::stop() {
  if (!Thread_.joinable())
    return;
  Stop_ = true;
  wake();
  Thread_.join();
}

void FlowThread::leave() {
  Leave_ = true;
  wake();
}

std::string FlowThread::explain(std::string Flow) {
  std::future<std::string> Answer;
  {
    const std::lock_guard Guard(QuestionLock_);
    Questions_.push_back({std::move(Flow), {}});
    Answer = Questions_.back().Answer_.get_future();
  }
  wake();
  if (Answer.wait_for(ExplainTimeout) != std::future_status::ready)
    return R"({"error":"the flow thread did not answer in time"})";
  return Answer.get();
}

void FlowThread::watch(int Descriptor) {
  epoll_event Wanted{};
  Wanted.events = EPOLLIN;
  Wanted.data.fd = Descriptor;
  epoll_ctl(Epoll_, EPOLL_CTL_ADD, Descriptor, &Wanted);
}

void FlowThread::wake() noexcept {
  const std::uint64_t One = 1;
  [[maybe_unused]] const ssize_t Written = write(Wake_, &One, sizeof(One));
}

void FlowThread::takeWakes() noexcept {
  std::uint64_t Count = 0;
  [[maybe_unused]] const ssize_t Read = read(Wake_, &Count, sizeof(Count));
}

void FlowThread::run() {
  TickAt_ = Clock_.now();
  while (!Stop_) {
    epoll_event Ready[8];
    const auto Wait = std::chrono::ceil<Millis>(TickAt_ - Clock_.now());
    epoll_wait(
        Epoll_, Ready, 8,
        static_cast<int>(std::clamp<std::int64_t>(Wait.count(), 0, 100)));
    takeWakes();
    const bool Before = Director_.suspended();
    Director_.readClock();
    if (Director_.suspended() && !Before) {
      Events_.warn("flow_suspended", {{"entry", Settings_.Name_.value()}});
      HeldUntil_ = Clock_.now() + Settings_.Membership_.Lease_;
    }
    takeMail();
    serve(FlowSocket_, false);
    serve(PeerSocket_, true);
    answerQuestions();
    tickWhenDue();
    Metrics_.publish();
  }
}

void FlowThread::takeMail() {
  takeViews();
  FromConfig_.clearWake();
  while (const auto Next = FromConfig_.pop()) {
    Director_.adopt(**Next);
    Events_.info("flow_config", {{"version", (*Next)->Version_.value()}});
  }
  FromControl_.clearWake();
  while (const auto Next = FromControl_.pop())
    Director_.receive(*Next);
  if (Leave_.exchange(false)) {
    Director_.leave();
    Events_.info("flow_leaving", {{"entry", Settings_.Name_.value()}});
  }
}

/// A view that waits when a pause is noticed may have been made before the
/// pause. It is only believed when the lease passes without another.
void FlowThread::takeViews() {
  Views_.clearWake();
  const bool Doubtful = Director_.suspended() && Clock_.now() < HeldUntil_;
  while (const auto Next = Views_.pop()) {
    const bool First = Doubtful && !HeldView_;
    HeldView_ = *Next;
    if (!First)
      takeView(*HeldView_);
  }
  if (HeldView_ && Director_.suspended() && !Doubtful)
    takeView(*HeldView_);
  if (!Doubtful)
    HeldView_.reset();
}

void FlowThread::takeView(const membership::View &Members) {
  Director_.adopt(Members);
  Events_.info("flow_view", {{"view", Members.id().value()},
                             {"members", Members.members().size()}});
}

void FlowThread::answerQuestions() {
  const std::lock_guard Guard(QuestionLock_);
  for (Question &Each : Questions_)
    Each.Answer_.set_value(Director_.explain(Each.Flow_));
  Questions_.clear();
}

void FlowThread::tickWhenDue() {
  const TimePoint Now = Clock_.now();
  if (Now >= TickAt_) {
    TickAt_ = Now + Director::TickPeriod;
    Director_.tick();
    Metrics_.publishTick(Director_);
    HandedOver_ = Director_.handedOver();
    Ready_ = Director_.ready();
  }
  sendMessages();
}

void FlowThread::sendMessages() {
  for (wire::Outgoing &Each : Director_.takeOutgoing())
    if (!ToControl_.push(std::move(Each)))
      Metrics_.countLostMessage();
}

void FlowThread::serve(net::UdpSocket &Socket, bool FromEntry) {
  for (int Turn = 0; Turn < BatchesPerTurn; ++Turn) {
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
  Job &Next = Jobs_[Index];
  Next.Inner_ = {};
  const std::span<std::byte> Datagram = Received_.bytes(Index);
  const auto Refused = [&](DropReason Reason) {
    Next.Seen_.DropReason_ = Reason;
  };
  if (Received_.cut(Index))
    return Refused(DropReason::TruncatedEncapsulation);
  if (FromEntry) {
    const auto Opened = decapsulatePeer(Datagram);
    if (const DropReason *Reason = std::get_if<DropReason>(&Opened))
      return Refused(*Reason);
    Next.Inner_ = std::get_if<PeerPacket>(&Opened)->Inner_;
    Next.Header_ = std::get_if<PeerPacket>(&Opened)->Header_;
  } else {
    const auto Opened = decapsulate(Datagram);
    if (const DropReason *Reason = std::get_if<DropReason>(&Opened))
      return Refused(*Reason);
    Next.Inner_ = *std::get_if<std::span<std::byte>>(&Opened);
  }
  Next.Seen_ = Director_.prepare(Next.Inner_);
}

void FlowThread::decide(std::size_t Index, bool FromEntry) {
  const Job &Next = Jobs_[Index];
  const Ipv4 From = Received_.from(Index).address();
  act(FromEntry ? Director_.decide(Next.Seen_, Next.Header_, From)
                : Director_.decide(Next.Seen_),
      Next.Inner_, Index);
}

void FlowThread::act(const Decision &Made, std::span<std::byte> Inner,
                     std::size_t Index) {
  Metrics_.countDecision(Made);
  std::visit(
      Overloaded{
          [&](const ToUpstream &Each) {
            ToUpstreams_.add(Each.To_, prepend(gueHeader(), Inner));
          },
          [&](const ToEntry &Each) {
            ToEntries_.add({Each.To_, Settings_.Ports_.Peer_},
                           prepend(peerGueHeader(Each.Header_), Inner));
          },
          [&](const Refuse &Each) {
            auto &Reset = Resets_[Index];
            const auto Header = gueHeader();
            const auto Packet = buildReset(Each.FirstPacket_);
            std::copy(Header.begin(), Header.end(), Reset.begin());
            std::copy(Packet.begin(), Packet.end(), Reset.begin() + GueBytes);
            ToUpstreams_.add({Each.FirstPacket_.Source_.address(), CallerPort},
                             Reset);
          },
          [](const Drop &) {},
      },
      Made);
}

void FlowThread::flush() {
  std::size_t Unsent = ToUpstreams_.flush(FlowSocket_.descriptor());
  Unsent += ToEntries_.flush(PeerSocket_.descriptor());
  Metrics_.countUnsent(Unsent);
}

} // namespace medlarmoor::flow
