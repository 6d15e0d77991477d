#include <medlarmoor/edge/packet_loop.hpp>

#include <medlarmoor/core/overloaded.hpp>
#include <medlarmoor/discovery/catalog_entry.hpp>

#include <algorithm>
#include <utility>

namespace medlarmoor::edge {

namespace {

/// Retries that are due within this time are sent together.
constexpr Millis RetryCoalescing{5};
/// A retry that runs later than this was delayed by this instance itself.
constexpr Millis MaxTimerLag{50};
/// Interval of the checks of waiting SYNs. Requests that end are seen with the
/// packets that show it; the checks notice peers' reports and expired waits.
constexpr Millis ReleaseInterval{10};

} // namespace

PacketLoop::PacketLoop(boost::asio::io_context &Io, Endpoint Address,
                       PacketCodec Codec, Forwarder &Forwarder,
                       Readiness &Readiness, DecisionLog &Log,
                       std::function<Freshness()> Freshness, Clock Time)
    : Address_(Address), Codec_(Codec), Forwarder_(Forwarder),
      Readiness_(Readiness), Log_(Log), Freshness_(std::move(Freshness)),
      Time_(std::move(Time)), Readable_(Io), RetryTimer_(Io),
      ReleaseTimer_(Io) {}

PacketLoop::~PacketLoop() {
  // Socket_ owns the descriptor and closes it.
  if (Readable_.is_open())
    Readable_.release();
}

bool PacketLoop::start() {
  if (!Socket_.open(Address_))
    return false;
  Readable_.assign(Socket_.descriptor());
  waitForPackets();
  return true;
}

void PacketLoop::waitForPackets() {
  Readable_.async_wait(boost::asio::posix::descriptor_base::wait_read,
                       [this](boost::system::error_code Error) {
                         if (Error)
                           return;
                         receiveBatch();
                         waitForPackets();
                       });
}

bool PacketLoop::receiveBatch() {
  const std::size_t Count = ReceiveBatch_.receive(Socket_.descriptor());
  if (Count == 0)
    return false;
  const TimePoint Now = Time_.now();
  Readiness_.recordPacket(Now);
  Freshness Fresh = Freshness_();
  Fresh.Backlogged_ = Fresh.ResumedAt_ && *Fresh.ResumedAt_ >= EmptiedAt_;
  Fresh.Delayed_ = Readiness_.stopping();
  for (std::size_t I = 0; I < Count; ++I)
    handlePacket(ReceiveBatch_.withHeadroom(I), Resets_[I], Fresh, Now);
  flush();
  armRetryTimer(Now);
  if (Count < net::BatchPackets)
    EmptiedAt_ = Time_.now();
  // The packets may have freed slots.
  releaseWaiting();
  return true;
}

void PacketLoop::handleHeld() {
  if (Held_.empty() || !Forwarder_.ready())
    return;
  const TimePoint Now = Time_.now();
  Freshness Fresh = Freshness_();
  Fresh.Delayed_ = true;
  // Owns the bytes until the batch is flushed.
  std::vector<std::vector<std::byte>> Datagrams = Held_.take(Now);
  for (std::size_t I = 0; I < Datagrams.size(); ++I) {
    if (SendBatch_.full())
      flush();
    handlePacket(Datagrams[I], Resets_[I % Resets_.size()], Fresh, Now);
  }
  flush();
  armRetryTimer(Now);
}

void PacketLoop::drain() {
  while (receiveBatch())
    ;
}

void PacketLoop::flush() {
  if (const std::size_t Unsent = SendBatch_.flush(Socket_.descriptor()))
    Log_.countUnsent(Unsent);
}

void PacketLoop::handlePacket(std::span<std::byte> Datagram,
                              PacketCodec::Reset &Reset, Freshness Fresh,
                              TimePoint Now) {
  std::optional<affinity::Packet> Packet =
      Codec_.Read_(Datagram.subspan(net::HeadroomBytes));
  if (!Packet)
    return Log_.countMalformed();
  const affinity::Tag DatagramTag = Packet->Tag_;
  carryOut(Forwarder_.handle(*Packet, Fresh, Now), Datagram, *Packet,
           DatagramTag, Reset, Now);
}

void PacketLoop::carryOut(const Decision &Action, std::span<std::byte> Datagram,
                          const affinity::Packet &Packet,
                          affinity::Tag DatagramTag, PacketCodec::Reset &Reset,
                          TimePoint Now) {
  std::visit(
      Overloaded{
          [&](const Deliver &Delivery) {
            deliver(Datagram, Packet, DatagramTag, Delivery);
            if (Delivery.Reason_ == DeliverReason::Placed)
              scheduleRetry(Packet, Datagram, Now, Now);
          },
          [&](const Reject &) {
            Reset = Codec_.MakeReset_(Packet);
            // Clients receive on the port number of the packet
            // address.
            SendBatch_.add({Packet.Flow_.Client_.address(), Address_.port()},
                           Reset);
          },
          [](const Drop &) {}, [&](const Hold &) { Held_.hold(Datagram, Now); },
          [&](const Enqueue &) {
            WaitingSyns_.insert_or_assign(
                Packet.Flow_, WaitingSyn{Packet,
                                         DatagramTag,
                                         {Datagram.begin(), Datagram.end()}});
          }},
      Action);
  Log_.recordDecision(Packet, Action, Now);
}

void PacketLoop::releaseWaiting() {
  if (Forwarder_.waiting() == 0)
    return;
  const TimePoint Now = Time_.now();
  const Freshness Fresh = Freshness_();
  // Own the bytes until the batch is flushed.
  std::deque<WaitingSyn> Released;
  std::deque<PacketCodec::Reset> Resets;
  while (const auto Next = Forwarder_.nextReleased(Now)) {
    Log_.recordReleased(Next->Demand_.Priority_);
    const auto Found = WaitingSyns_.find(Next->Demand_.Flow_);
    if (Found == WaitingSyns_.end())
      continue;
    WaitingSyn &Syn = Released.emplace_back(std::move(Found->second));
    WaitingSyns_.erase(Found);
    if (SendBatch_.full())
      flush();
    carryOut(Forwarder_.release(Syn.Packet_, *Next, Fresh, Now), Syn.Bytes_,
             Syn.Packet_, Syn.DatagramTag_, Resets.emplace_back(), Now);
  }
  flush();
  armRetryTimer(Now);
  armReleaseTimer();
}

void PacketLoop::armReleaseTimer() {
  if (ReleaseTimerArmed_ || Forwarder_.waiting() == 0)
    return;
  ReleaseTimerArmed_ = true;
  ReleaseTimer_.expires_after(ReleaseInterval);
  ReleaseTimer_.async_wait([this](boost::system::error_code Error) {
    ReleaseTimerArmed_ = false;
    if (!Error)
      releaseWaiting();
  });
}

void PacketLoop::deliver(std::span<std::byte> Datagram,
                         const affinity::Packet &Packet,
                         affinity::Tag DatagramTag, const Deliver &Delivery) {
  if (Packet.Tag_ != DatagramTag)
    Codec_.WriteTag_(Datagram.subspan(net::HeadroomBytes), Packet.Tag_);
  Codec_.WriteEncapsulation_(Datagram, Delivery.Upstream_->Upstream_.Identity_);
  SendBatch_.add(Delivery.Upstream_->Upstream_.Address_, Datagram);
}

void PacketLoop::scheduleRetry(const affinity::Packet &Packet,
                               std::span<const std::byte> Datagram,
                               TimePoint PlacedAt, TimePoint Now) {
  const TimePoint DueAt = Now + Forwarder_.synRetryDelay();
  // The retry delay may have become shorter since the last SYN; the queue must
  // stay in order.
  const TimePoint LastDueAt =
      PendingSyns_.empty() ? DueAt : PendingSyns_.back().DueAt_;
  PendingSyns_.push_back(
      {PlacedAt, std::max(DueAt, LastDueAt), Packet,
       std::vector<std::byte>(Datagram.begin(), Datagram.end())});
}

void PacketLoop::armRetryTimer(TimePoint Now) {
  if (RetryTimerArmed_ || PendingSyns_.empty())
    return;
  RetryTimerArmed_ = true;
  RetryTimer_.expires_after(
      std::max(Nanos(0), PendingSyns_.front().DueAt_ - Now));
  RetryTimer_.async_wait([this](boost::system::error_code Error) {
    RetryTimerArmed_ = false;
    if (!Error)
      retryDueSyns();
  });
}

void PacketLoop::retryDueSyns() {
  // Packets that wait in the socket may complete handshakes that are due.
  drain();
  const TimePoint Now = Time_.now();
  // Owns the bytes until the batch is flushed.
  std::vector<PendingSyn> Due;
  while (!PendingSyns_.empty() &&
         PendingSyns_.front().DueAt_ <= Now + RetryCoalescing) {
    Due.push_back(std::move(PendingSyns_.front()));
    PendingSyns_.pop_front();
  }
  for (PendingSyn &Syn : Due) {
    // When this instance was stalled, a missing answer says nothing about the
    // upstream.
    if (Now - Syn.DueAt_ > MaxTimerLag || SendBatch_.full())
      continue;
    const affinity::Tag DatagramTag = Syn.Packet_.Tag_;
    const auto Delivery = Forwarder_.retry(Syn.Packet_, Syn.PlacedAt_, Now);
    if (!Delivery)
      continue;
    deliver(Syn.Bytes_, Syn.Packet_, DatagramTag, *Delivery);
    if (Delivery->Reason_ == DeliverReason::Repeated)
      scheduleRetry(Syn.Packet_, Syn.Bytes_, Syn.PlacedAt_, Now);
    Log_.recordDecision(Syn.Packet_, *Delivery, Now);
  }
  flush();
  armRetryTimer(Now);
}

} // namespace medlarmoor::edge
