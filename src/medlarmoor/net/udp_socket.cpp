#include <medlarmoor/net/sockaddr.hpp>
#include <medlarmoor/net/udp_socket.hpp>

#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <utility>

namespace medlarmoor::net {

namespace {

constexpr int SocketBufferBytes = 4 * 1024 * 1024;

} // namespace

UdpSocket::~UdpSocket() {
  if (Descriptor_ >= 0)
    close(Descriptor_);
}

UdpSocket::UdpSocket(UdpSocket &&Other) noexcept
    : Descriptor_(std::exchange(Other.Descriptor_, -1)),
      Reason_(std::move(Other.Reason_)) {}

UdpSocket &UdpSocket::operator=(UdpSocket &&Other) noexcept {
  std::swap(Descriptor_, Other.Descriptor_);
  std::swap(Reason_, Other.Reason_);
  return *this;
}

bool UdpSocket::open(Endpoint Where) {
  Descriptor_ = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const sockaddr_in Local = toSockaddr(Where);
  setsockopt(Descriptor_, SOL_SOCKET, SO_RCVBUF, &SocketBufferBytes,
             sizeof(SocketBufferBytes));
  setsockopt(Descriptor_, SOL_SOCKET, SO_SNDBUF, &SocketBufferBytes,
             sizeof(SocketBufferBytes));
  if (bind(Descriptor_, reinterpret_cast<const sockaddr *>(&Local),
           sizeof(Local)) == 0)
    return true;
  Reason_ = Where.text() + ": " + std::strerror(errno);
  close(std::exchange(Descriptor_, -1));
  return false;
}

bool UdpSocket::send(Endpoint To, std::span<const std::byte> Bytes) noexcept {
  const sockaddr_in Remote = toSockaddr(To);
  const ssize_t Sent =
      sendto(Descriptor_, Bytes.data(), Bytes.size(), 0,
             reinterpret_cast<const sockaddr *>(&Remote), sizeof(Remote));
  return Sent == static_cast<ssize_t>(Bytes.size());
}

std::optional<Datagram> UdpSocket::receive(std::span<std::byte> Buffer) {
  sockaddr_in Remote{};
  socklen_t Length = sizeof(Remote);
  const ssize_t Size = recvfrom(Descriptor_, Buffer.data(), Buffer.size(), 0,
                                reinterpret_cast<sockaddr *>(&Remote), &Length);
  if (Size < 0)
    return std::nullopt;
  return Datagram{toEndpoint(Remote),
                  Buffer.first(static_cast<std::size_t>(Size))};
}

Endpoint UdpSocket::local() const {
  sockaddr_in Local{};
  socklen_t Length = sizeof(Local);
  getsockname(Descriptor_, reinterpret_cast<sockaddr *>(&Local), &Length);
  return toEndpoint(Local);
}

} // namespace medlarmoor::net
