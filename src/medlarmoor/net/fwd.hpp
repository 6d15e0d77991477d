#ifndef MEDLARMOOR_NET_FWD_HPP
#define MEDLARMOOR_NET_FWD_HPP

namespace medlarmoor::net {

struct HttpRequest;
struct HttpResponse;
struct HttpLimits;
class HttpServer;
class HttpClient;
class UdpSocket;

} // namespace medlarmoor::net

#endif // MEDLARMOOR_NET_FWD_HPP
