#include <harness/udp_relay.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <vector>

namespace medlarmoor::harness {

UdpRelay::UdpRelay(boost::asio::io_context &Io, Endpoint Listen,
                   Endpoint Target, std::string PortClass,
                   const FaultRules &Rules, PassedBytes &Passed,
                   const ShownAddresses &Shown, Random &Source)
    : Io_(Io), Listen_(Listen), Target_(Target),
      PortClass_(std::move(PortClass)), Rules_(Rules), Passed_(Passed),
      Shown_(Shown), Random_(Source),
      Port_(Io, [this](Endpoint From, std::span<const std::byte> Datagram) {
        onDatagram(From.address(), Datagram);
      }) {}

bool UdpRelay::listen() { return Port_.open(Listen_); }

const std::string &UdpRelay::lastReason() const noexcept {
  return Port_.lastReason();
}

void UdpRelay::onDatagram(Ipv4 From, std::span<const std::byte> Datagram) {
  const Passage Way = Rules_.passage(From, Target_.address(), PortClass_);
  const bool Lost =
      Way.Loss_ > 0 && std::bernoulli_distribution(Way.Loss_)(Random_);
  if (Way.Cut_ || Lost)
    return;
  if (Way.Delay_.count() == 0)
    return forward(From, Datagram);
  const auto Timer =
      std::make_shared<boost::asio::steady_timer>(Io_, Way.Delay_);
  const std::vector<std::byte> Copy(Datagram.begin(), Datagram.end());
  Timer->async_wait([this, Timer, From, Copy](boost::system::error_code) {
    forward(From, Copy);
  });
}

void UdpRelay::forward(Ipv4 From, std::span<const std::byte> Datagram) {
  net::UdpSocket &Socket = Sockets_[From];
  if (Socket.descriptor() < 0 && !Socket.open({Shown_.of(From), 0}))
    return;
  Passed_[PortClass_] += Datagram.size();
  Socket.send(Target_, Datagram);
}

} // namespace medlarmoor::harness
