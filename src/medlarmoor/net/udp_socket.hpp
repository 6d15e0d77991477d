#ifndef MEDLARMOOR_NET_UDP_SOCKET_HPP
#define MEDLARMOOR_NET_UDP_SOCKET_HPP

#include <medlarmoor/core/endpoint.hpp>

#include <cstddef>
#include <optional>
#include <span>
#include <string>

namespace medlarmoor::net {

/// A datagram that was received into a caller's buffer.
struct Datagram {
  Endpoint From_;
  std::span<std::byte> Bytes_;
};

/// A non-blocking UDP socket bound to one endpoint.
class UdpSocket {
public:
  UdpSocket() = default;
  ~UdpSocket();
  UdpSocket(UdpSocket &&Other) noexcept;
  UdpSocket &operator=(UdpSocket &&Other) noexcept;

  /// Binds to Where (port 0 lets the system choose); false with lastReason().
  [[nodiscard]] bool open(Endpoint Where);
  /// Sends one datagram; false when the system did not take it.
  bool send(Endpoint To, std::span<const std::byte> Bytes) noexcept;
  /// Receives one datagram into Buffer; nothing when none waits.
  [[nodiscard]] std::optional<Datagram> receive(std::span<std::byte> Buffer);

  /// The endpoint the socket is bound to.
  [[nodiscard]] Endpoint local() const;
  [[nodiscard]] int descriptor() const noexcept { return Descriptor_; }
  [[nodiscard]] const std::string &lastReason() const noexcept {
    return Reason_;
  }

private:
  int Descriptor_ = -1;
  std::string Reason_;
};

} // namespace medlarmoor::net

#endif // MEDLARMOOR_NET_UDP_SOCKET_HPP
