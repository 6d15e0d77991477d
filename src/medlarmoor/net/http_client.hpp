#ifndef MEDLARMOOR_NET_HTTP_CLIENT_HPP
#define MEDLARMOOR_NET_HTTP_CLIENT_HPP

#include <medlarmoor/core/endpoint.hpp>
#include <medlarmoor/core/time.hpp>
#include <medlarmoor/net/http_request.hpp>
#include <medlarmoor/net/http_response.hpp>

#include <functional>
#include <optional>
#include <string>

namespace boost::asio {
class io_context;
} // namespace boost::asio

namespace medlarmoor::net {

/// Called once with the whole response, or with nothing and the reason.
using HttpDone = std::function<void(std::optional<HttpResponse>, std::string)>;

/// Sends one request a connection, from a chosen source address.
class HttpClient {
public:
  /// Source is the local address of all connections; 0.0.0.0 leaves it open.
  HttpClient(boost::asio::io_context &Io, Ipv4 Source);

  /// Sends Request to Where. Done runs on the io_context's thread, never
  /// within this call. After Timeout the connection is closed and Done gets
  /// nothing: the server may or may not have acted.
  void send(Endpoint Where, HttpRequest Request, Millis Timeout, HttpDone Done);

private:
  boost::asio::io_context &Io_;
  Ipv4 Source_;
};

/// Sends Request and waits for the response; nothing, with Reason set, when
/// none came within Timeout.
[[nodiscard]] std::optional<HttpResponse>
httpCall(Endpoint Where, HttpRequest Request, Millis Timeout,
         std::string &Reason, Ipv4 Source = {});

} // namespace medlarmoor::net

#endif // MEDLARMOOR_NET_HTTP_CLIENT_HPP
