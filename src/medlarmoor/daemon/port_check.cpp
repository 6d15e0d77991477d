#include <medlarmoor/config/settings.hpp>
#include <medlarmoor/core/findings.hpp>
#include <medlarmoor/daemon/port_check.hpp>
#include <medlarmoor/net/sockaddr.hpp>

#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <vector>

namespace medlarmoor::daemon {

namespace {

/// One port of the settings.
struct Asked {
  const char *Name_;
  int Type_;
  std::uint16_t Port_;
};

std::vector<Asked> askedPorts(const config::Settings &Given) {
  const config::Ports &Ports = Given.Ports_;
  std::vector<Asked> Out{{"control", SOCK_DGRAM, Ports.Control_},
                         {"config", SOCK_STREAM, Ports.Config_},
                         {"admin", SOCK_STREAM, Ports.Admin_}};
  if (!Given.ListenersEnabled_)
    return Out;
  Out.push_back({"flow", SOCK_DGRAM, Ports.Flow_});
  Out.push_back({"peer", SOCK_DGRAM, Ports.Peer_});
  Out.push_back({"requests", SOCK_STREAM, Ports.Requests_});
  Out.push_back({"internal", SOCK_STREAM, Ports.Internal_});
  return Out;
}

/// Binds as the servers do; 0 or the error number.
int tryBind(Endpoint Where, int Type) {
  const int Socket = socket(AF_INET, Type | SOCK_CLOEXEC, 0);
  if (Socket < 0)
    return errno;
  const int On = 1;
  if (Type == SOCK_STREAM)
    setsockopt(Socket, SOL_SOCKET, SO_REUSEADDR, &On, sizeof(On));
  const sockaddr_in Local = net::toSockaddr(Where);
  int Failed = 0;
  if (bind(Socket, reinterpret_cast<const sockaddr *>(&Local), sizeof(Local)) !=
      0)
    Failed = errno;
  if (Failed == 0 && Type == SOCK_STREAM && listen(Socket, 1) != 0)
    Failed = errno;
  close(Socket);
  return Failed;
}

} // namespace

void checkPorts(const config::Settings &Given, const std::string &File,
                Findings &Out) {
  for (const Asked &Each : askedPorts(Given)) {
    const Endpoint Where(Given.Address_, Each.Port_);
    if (const int Failed = tryBind(Where, Each.Type_); Failed != 0)
      Out.add({File, 0, 0}, std::string("port '") + Each.Name_ + "': " +
                                Where.text() + ": " + std::strerror(Failed));
  }
}

} // namespace medlarmoor::daemon
