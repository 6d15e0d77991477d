#ifndef MEDLARMOOR_NET_HTTP_SERVER_HPP
#define MEDLARMOOR_NET_HTTP_SERVER_HPP

#include <medlarmoor/core/endpoint.hpp>
#include <medlarmoor/net/http_limits.hpp>
#include <medlarmoor/net/http_request.hpp>
#include <medlarmoor/net/http_response.hpp>

#include <functional>
#include <memory>
#include <string>

namespace boost::asio {
class io_context;
} // namespace boost::asio

namespace medlarmoor::net {

/// Answers one request. It may be called later, once, on the io_context's
/// thread; when it is dropped uncalled the connection closes.
using HttpReply = std::function<void(HttpResponse)>;
/// Called on the io_context's thread for each whole request.
using HttpHandler = std::function<void(HttpRequest, HttpReply)>;

/// A small HTTP/1.1 server for whole messages that fit in memory.
class HttpServer {
public:
  HttpServer(boost::asio::io_context &Io, Endpoint Where, HttpHandler Handler,
             HttpLimits Limits = {});
  ~HttpServer();
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;

  /// Binds and accepts; false with lastReason() when the address is not free.
  [[nodiscard]] bool listen();
  /// Stops accepting; open exchanges finish.
  void close();
  /// Why listen() returned false.
  [[nodiscard]] const std::string &lastReason() const noexcept;

private:
  class Impl;
  std::shared_ptr<Impl> Impl_;
};

} // namespace medlarmoor::net

#endif // MEDLARMOOR_NET_HTTP_SERVER_HPP
