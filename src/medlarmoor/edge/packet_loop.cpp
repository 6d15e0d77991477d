#include <medlarmoor/edge/packet_loop.hpp>

#include <medlarmoor/core/overloaded.hpp>
#include <medlarmoor/discovery/catalog_entry.hpp>

#include <utility>

namespace medlarmoor::edge {

PacketLoop::PacketLoop(boost::asio::io_context &Io, Endpoint Where,
                       PacketCodec Codec, Forwarder &Decisions,
                       Readiness &Ready, DecisionLog &Log,
                       std::function<Knowledge()> Known, Clock Time)
    : Where_(Where), Codec_(Codec), Decisions_(Decisions), Ready_(Ready),
      Log_(Log), Known_(std::move(Known)), Time_(std::move(Time)),
      Readable_(Io) {}

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
                         receiveAll();
                         wait();
                       });
}

void PacketLoop::receiveAll() {
  const std::size_t Count = Received_.receive(Socket_.descriptor());
  if (Count == 0)
    return;
  const TimePoint Now = Time_.now();
  Ready_.packet(Now);
  const Knowledge Known = Known_();
  for (std::size_t I = 0; I < Count; ++I)
    handle(I, Known, Now);
  if (const std::size_t Failed = Sent_.flush(Socket_.descriptor()))
    Log_.unsent(Failed);
}

void PacketLoop::handle(std::size_t Index, Knowledge Known, TimePoint Now) {
  const std::span<std::byte> Bytes = Received_.bytes(Index);
  std::optional<affinity::Packet> In = Codec_.Read_(Bytes);
  if (!In)
    return Log_.malformed();
  const Decision Made = Decisions_.handle(*In, Known, Now);
  std::visit(Overloaded{[&](const Deliver &To) {
                          if (In->Syn_)
                            Codec_.WriteTag_(Bytes, In->Tag_);
                          const discovery::Upstream &Upstream =
                              To.Upstream_->Upstream_;
                          const std::span<std::byte> Whole =
                              Received_.withHeadroom(Index);
                          Codec_.WriteEncapsulation_(Whole, Upstream.Identity_);
                          Sent_.add(Upstream.Address_, Whole);
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

} // namespace medlarmoor::edge
