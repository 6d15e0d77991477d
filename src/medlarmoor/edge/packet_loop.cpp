#include <medlarmoor/edge/packet_loop.hpp>

#include <medlarmoor/core/overloaded.hpp>
#include <medlarmoor/discovery/catalog_entry.hpp>

#include <algorithm>
#include <utility>

namespace medlarmoor::edge {

namespace {

/// Retries that are due this soon go together.
constexpr Millis RetryRounding{5};
/// A retry that is later than this was held up by this instance itself.
constexpr Millis LongestStall{50};

} // namespace

PacketLoop::PacketLoop(boost::asio::io_context &Io, Endpoint Where,
                       PacketCodec Codec, Forwarder &Decisions,
                       Readiness &Ready, DecisionLog &Log,
                       std::function<Knowledge()> Known, Clock Time)
    : Where_(Where), Codec_(Codec), Decisions_(Decisions), Ready_(Ready),
      Log_(Log), Known_(std::move(Known)), Time_(std::move(Time)),
      Readable_(Io), Retries_(Io) {}

PacketLoop::~PacketLoop() {
  // The socket closes the descriptor.
  if (Readable_.is_open())
    Readable_.release();
}

bool PacketLoop::start() {
  if (!Socket_.open(Where_))
    return false;
  Readable_.assign(Socket_.descriptor());
  wait();
  return true;
}

void PacketLoop::wait() {
  Readable_.async_wait(boost::asio::posix::descriptor_base::wait_read,
                       [this](boost::system::error_code Failed) {
                         if (Failed)
                           return;
                         receiveBatch();
                         wait();
                       });
}

bool PacketLoop::receiveBatch() {
  const std::size_t Count = Received_.receive(Socket_.descriptor());
  if (Count == 0)
    return false;
  const TimePoint Now = Time_.now();
  Ready_.packet(Now);
  const Knowledge Known = Known_();
  for (std::size_t I = 0; I < Count; ++I)
    handle(I, Known, Now);
  if (const std::size_t Failed = Sent_.flush(Socket_.descriptor()))
    Log_.unsent(Failed);
  armRetries(Now);
  return true;
}

void PacketLoop::handle(std::size_t Index, Knowledge Known, TimePoint Now) {
  std::optional<affinity::Packet> In = Codec_.Read_(Received_.bytes(Index));
  if (!In)
    return Log_.malformed();
  const affinity::Tag Carried = In->Tag_;
  const Decision Made = Decisions_.handle(*In, Known, Now);
  std::visit(Overloaded{[&](const Deliver &To) {
                          const std::span<std::byte> Datagram =
                              Received_.withHeadroom(Index);
                          deliver(Datagram, *In, Carried, To);
                          if (To.Reason_ == DeliverReason::Placed)
                            watchSyn(*In, Datagram, Now);
                        },
                        [&](const Reject &) {
                          Resets_[Index] = Codec_.MakeReset_(*In);
                          // Clients listen at the port of the packet address.
                          Sent_.add(
                              {In->Flow_.Client_.address(), Where_.port()},
                              Resets_[Index]);
                        },
                        [](const Drop &) {}},
             Made);
  Log_.decided(*In, Made, Now);
}

void PacketLoop::deliver(std::span<std::byte> Datagram,
                         const affinity::Packet &In, affinity::Tag Carried,
                         const Deliver &To) {
  if (In.Tag_ != Carried)
    Codec_.WriteTag_(Datagram.subspan(net::HeadroomBytes), In.Tag_);
  Codec_.WriteEncapsulation_(Datagram, To.Upstream_->Upstream_.Identity_);
  Sent_.add(To.Upstream_->Upstream_.Address_, Datagram);
}

void PacketLoop::watchSyn(const affinity::Packet &In,
                          std::span<const std::byte> Datagram, TimePoint Now) {
  const TimePoint Due = Now + Decisions_.handshakePatience();
  // The patience may have become shorter since the last SYN.
  const TimePoint Last = Pending_.empty() ? Due : Pending_.back().DueAt_;
  Pending_.push_back(
      {Now, std::max(Due, Last), In,
       std::vector<std::byte>(Datagram.begin(), Datagram.end())});
}

void PacketLoop::armRetries(TimePoint Now) {
  if (RetriesArmed_ || Pending_.empty())
    return;
  RetriesArmed_ = true;
  Retries_.expires_after(std::max(Nanos(0), Pending_.front().DueAt_ - Now));
  Retries_.async_wait([this](boost::system::error_code Failed) {
    RetriesArmed_ = false;
    if (!Failed)
      retryDue();
  });
}

void PacketLoop::retryDue() {
  // Answers that wait in the socket count.
  while (receiveBatch())
    ;
  const TimePoint Now = Time_.now();
  // The bytes live here until they are sent.
  std::vector<PendingSyn> Due;
  while (!Pending_.empty() && Pending_.front().DueAt_ <= Now + RetryRounding) {
    Due.push_back(std::move(Pending_.front()));
    Pending_.pop_front();
  }
  for (PendingSyn &Each : Due) {
    // This instance stood still: no answer proves nothing.
    if (Now - Each.DueAt_ > LongestStall || Sent_.full())
      continue;
    const affinity::Tag Carried = Each.Packet_.Tag_;
    const auto To = Decisions_.retry(Each.Packet_, Each.PlacedAt_, Now);
    if (!To)
      continue;
    deliver(Each.Bytes_, Each.Packet_, Carried, *To);
    Log_.decided(Each.Packet_, *To, Now);
  }
  if (const std::size_t Failed = Sent_.flush(Socket_.descriptor()))
    Log_.unsent(Failed);
  armRetries(Now);
}

} // namespace medlarmoor::edge
