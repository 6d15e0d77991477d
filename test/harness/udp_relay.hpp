#ifndef MEDLARMOOR_HARNESS_UDP_RELAY_HPP
#define MEDLARMOOR_HARNESS_UDP_RELAY_HPP

#include <harness/fault_rules.hpp>
#include <harness/passed_bytes.hpp>
#include <harness/shown_addresses.hpp>
#include <harness/udp_port.hpp>
#include <medlarmoor/net/udp_socket.hpp>

#include <map>
#include <string>

namespace medlarmoor::harness {

/// Receives datagrams on one endpoint and sends them to another, from the
/// address by which their sender is known, as the rules allow.
class UdpRelay {
public:
  UdpRelay(boost::asio::io_context &Io, Endpoint Listen, Endpoint Target,
           std::string PortClass, const FaultRules &Rules, PassedBytes &Passed,
           const ShownAddresses &Shown, Random &Source);

  /// Binds; false with lastReason().
  [[nodiscard]] bool listen();
  [[nodiscard]] const std::string &lastReason() const noexcept;

private:
  void onDatagram(Ipv4 From, std::span<const std::byte> Datagram);
  void forward(Ipv4 From, std::span<const std::byte> Datagram);

  boost::asio::io_context &Io_;
  Endpoint Listen_;
  Endpoint Target_;
  std::string PortClass_;
  const FaultRules &Rules_;
  PassedBytes &Passed_;
  const ShownAddresses &Shown_;
  Random &Random_;
  /// A sending socket for each sender's address.
  std::map<Ipv4, net::UdpSocket> Sockets_;
  UdpPort Port_;
};

} // namespace medlarmoor::harness

#endif // MEDLARMOOR_HARNESS_UDP_RELAY_HPP
