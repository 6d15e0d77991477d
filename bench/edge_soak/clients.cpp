#include <bench/edge_soak/clients.hpp>

#include <utility>

namespace medlarmoor::bench::soak {

namespace {

/// The clients' protocol: copies of a SYN at 200 and 600 ms, the end at 1.4 s;
/// data again after 200 ms, doubling up to 1.6 s.
constexpr Millis FirstRepeat{200};
constexpr Millis LongestRepeat{1600};
constexpr std::uint32_t SynCopies = 2;
/// Packets of a finished flow are still known for this long.
constexpr Millis Linger{200};
constexpr std::uint16_t FirstPort = 1024;
constexpr std::size_t MostFailures = 40;

} // namespace

Clients::Clients(boost::asio::io_context &Io, std::vector<Ipv4> Addresses,
                 std::uint16_t Port, Fabric Routers, Judge &Checks, Clock Time,
                 Random Source)
    : Io_(Io), Addresses_(std::move(Addresses)), Port_(Port),
      Routers_(std::move(Routers)), Checks_(Checks), Time_(std::move(Time)),
      Source_(Source) {}

bool Clients::start() {
  for (const Ipv4 Each : Addresses_) {
    Sockets_.push_back(std::make_unique<harness::UdpPort>(
        Io_, [this](Endpoint, std::span<const std::byte> Datagram) {
          receive(Datagram);
        }));
    if (!Sockets_.back()->open({Each, Port_}))
      return false;
  }
  return true;
}

void Clients::ask(Endpoint Virtual, bool Counted) {
  const std::uint64_t Number = ++Requests_;
  const std::size_t Socket = Number % Addresses_.size();
  const auto Port = static_cast<std::uint16_t>(
      FirstPort + (Number / Addresses_.size()) % 60'000);
  const Key Ends{{Addresses_[Socket], Port}, Virtual};
  Flow &Each = Flows_[Ends];
  Each.Ends_ = Ends;
  Each.Socket_ = Socket;
  Each.Request_ = "request-" + std::to_string(Number);
  Each.Began_ = Time_.now();
  Each.Epoch_ = Epoch_;
  Each.Sequence_ = static_cast<std::uint32_t>(Source_());
  Each.Timer_ = std::make_unique<boost::asio::steady_timer>(Io_);
  Each.Counted_ = Counted;
  Tally_.Asked_ += Counted ? 1 : 0;
  sendNext(Ends);
}

void Clients::sendNext(const Key &Ends) {
  Flow &Each = Flows_.at(Ends);
  if (Each.Answered_)
    return static_cast<void>(Flows_.erase(Ends));
  if (Time_.now() - Each.Began_ >= Deadline)
    return end(Ends, &Tally::Failed_, Each.Open_ ? "no answer" : "not opened");
  if (!Each.Open_ && Each.Sends_ > SynCopies)
    return end(Ends, &Tally::Failed_, "handshake timed out");
  WirePacket Out;
  Out.Echo_ = Each.Echo_;
  Out.Sequence_ = Each.Sequence_;
  if (Each.Open_) {
    Out.Ack_ = true;
    Out.Acknowledged_ = Each.Acknowledge_;
    Out.Data_ = Each.Request_;
  } else {
    Out.Syn_ = true;
    Out.Acknowledged_ = Each.Sends_;
  }
  send(Each, Out);
  arm(Each, std::min(LongestRepeat, FirstRepeat * (1U << Each.Sends_)));
  ++Each.Sends_;
}

void Clients::arm(Flow &Each, Millis After) {
  Each.Timer_->expires_after(After);
  Each.Timer_->async_wait(
      [this, Ends = Each.Ends_](boost::system::error_code Failed) {
        if (!Failed && Flows_.contains(Ends))
          sendNext(Ends);
      });
}

void Clients::receive(std::span<const std::byte> Datagram) {
  const auto In = decode(Datagram);
  if (!In)
    return Checks_.broken("client got bytes that are no packet");
  const auto Found = Flows_.find({In->Destination_, In->Source_});
  if (Found == Flows_.end())
    return;
  Flow &Each = Found->second;
  const Key Ends = Each.Ends_;
  if (In->Rst_) {
    if (Each.Answered_)
      return;
    if (Each.Open_ && !In->Genuine_)
      Checks_.cut(Each.Request_);
    if (Each.Open_)
      return end(Ends, &Tally::Failed_, "reset");
    if (!In->Genuine_)
      Checks_.refused(Ends.second, Time_.now());
    return end(Ends, &Tally::Refused_, "refused");
  }
  if (!In->Genuine_)
    return Checks_.broken("client got a changed packet");
  Each.Echo_ = In->Echo_;
  if (In->Syn_ && !Each.Open_) {
    Each.Open_ = true;
    Each.Acknowledge_ = In->Sequence_ + 1;
    Each.Sends_ = 0;
    return sendNext(Ends);
  }
  if (In->Data_.empty() || Each.Answered_)
    return;
  if (In->Data_ != Each.Request_)
    Checks_.mixed(Each.Request_);
  Each.Answered_ = true;
  if (Each.Epoch_ == Epoch_ && Each.Counted_)
    ++Tally_.Done_;
  WirePacket Out;
  Out.Fin_ = Out.Ack_ = true;
  Out.Acknowledged_ = Each.Acknowledge_;
  Out.Echo_ = Each.Echo_;
  send(Each, Out);
  arm(Each, Linger);
}

void Clients::send(Flow &Each, WirePacket Out) {
  Out.Source_ = Each.Ends_.first;
  Out.Destination_ = Each.Ends_.second;
  if (const auto To = Routers_(Out.Source_, Out.Destination_))
    Sockets_[Each.Socket_]->send(*To, encode(Out));
}

void Clients::end(const Key &Ends, std::uint64_t Tally::*Outcome,
                  const std::string &How) {
  const Flow &Each = Flows_.at(Ends);
  if (Each.Epoch_ == Epoch_ && Each.Counted_) {
    ++(Tally_.*Outcome);
    if (Failures_.size() < MostFailures)
      Failures_.push_back(Each.Request_ + " " + Ends.first.text() + ">" +
                          Ends.second.text() + " " + How);
  }
  Flows_.erase(Ends);
}

} // namespace medlarmoor::bench::soak
