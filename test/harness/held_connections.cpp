#include <harness/held_connections.hpp>

#include <medlarmoor/net/sockaddr.hpp>

#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

namespace medlarmoor::harness {

namespace {

/// A connected socket from Source, or -1.
int connectFrom(Ipv4 Source, Endpoint Where) {
  const int Socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (Socket < 0)
    return -1;
  const sockaddr_in Local = net::toSockaddr({Source, 0});
  const sockaddr_in Remote = net::toSockaddr(Where);
  if (bind(Socket, reinterpret_cast<const sockaddr *>(&Local), sizeof(Local)) !=
          0 ||
      connect(Socket, reinterpret_cast<const sockaddr *>(&Remote),
              sizeof(Remote)) != 0) {
    close(Socket);
    return -1;
  }
  fcntl(Socket, F_SETFL, O_NONBLOCK);
  return Socket;
}

void sendAll(int Socket, std::string_view Bytes) noexcept {
  while (!Bytes.empty()) {
    const ssize_t Sent = send(Socket, Bytes.data(), Bytes.size(), MSG_NOSIGNAL);
    if (Sent <= 0)
      return;
    Bytes.remove_prefix(static_cast<std::size_t>(Sent));
  }
}

} // namespace

HeldConnections::~HeldConnections() {
  for (const int Each : Sockets_)
    close(Each);
}

std::size_t HeldConnections::open(Ipv4 Source, Endpoint Where,
                                  std::size_t Count, std::string_view Bytes) {
  std::size_t Opened = 0;
  for (std::size_t I = 0; I < Count; ++I) {
    const int Socket = connectFrom(Source, Where);
    if (Socket < 0)
      continue;
    sendAll(Socket, Bytes);
    Sockets_.push_back(Socket);
    ++Opened;
  }
  return Opened;
}

void HeldConnections::write(std::string_view Bytes) noexcept {
  for (const int Each : Sockets_)
    sendAll(Each, Bytes);
}

} // namespace medlarmoor::harness
