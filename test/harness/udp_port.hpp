#ifndef MEDLARMOOR_HARNESS_UDP_PORT_HPP
#define MEDLARMOOR_HARNESS_UDP_PORT_HPP

#include <medlarmoor/core/endpoint.hpp>

#include <cstddef>
#include <functional>
#include <memory>
#include <span>
#include <string>

namespace boost::asio {
class io_context;
} // namespace boost::asio

namespace medlarmoor::harness {

/// Called for each datagram with its sender.
using DatagramHandler =
    std::function<void(Endpoint From, std::span<const std::byte> Datagram)>;

/// A UDP socket that is read on the io_context's thread.
class UdpPort {
public:
  UdpPort(boost::asio::io_context &Io, DatagramHandler Handler);
  ~UdpPort();
  UdpPort(const UdpPort &) = delete;
  UdpPort &operator=(const UdpPort &) = delete;

  /// Binds to Where and starts to read; false with lastReason().
  [[nodiscard]] bool open(Endpoint Where);
  /// Sends one datagram; what the system does not take is lost.
  void send(Endpoint To, std::span<const std::byte> Datagram);
  void send(Endpoint To, const std::string &Datagram);
  [[nodiscard]] const std::string &lastReason() const noexcept;

private:
  class Impl;
  std::shared_ptr<Impl> Impl_;
};

} // namespace medlarmoor::harness

#endif // MEDLARMOOR_HARNESS_UDP_PORT_HPP
