#ifndef MEDLARMOOR_HARNESS_RAW_HTTP_SERVER_HPP
#define MEDLARMOOR_HARNESS_RAW_HTTP_SERVER_HPP

#include <medlarmoor/core/endpoint.hpp>
#include <medlarmoor/net/http_request.hpp>
#include <medlarmoor/net/http_response.hpp>

#include <functional>
#include <memory>
#include <string>

namespace boost::asio {
class io_context;
} // namespace boost::asio

namespace medlarmoor::harness {

/// The bytes of a response with its length. A caller may cut them short or
/// send them twice.
[[nodiscard]] std::string renderHttp(const net::HttpResponse &Response);

/// An HTTP server whose handler answers with raw bytes, so that a stand-in can
/// send broken answers. One request a connection.
class RawHttpServer {
public:
  /// Writes the bytes and closes the connection. Dropping it uncalled closes
  /// the connection without an answer.
  using Reply = std::function<void(std::string Bytes)>;
  using Handler = std::function<void(net::HttpRequest, Reply)>;

  RawHttpServer(boost::asio::io_context &Io, Endpoint Where, Handler OnRequest);
  ~RawHttpServer();
  RawHttpServer(const RawHttpServer &) = delete;
  RawHttpServer &operator=(const RawHttpServer &) = delete;

  /// Binds and accepts; false with lastReason().
  [[nodiscard]] bool listen();
  [[nodiscard]] const std::string &lastReason() const noexcept;

private:
  class Impl;
  std::shared_ptr<Impl> Impl_;
};

} // namespace medlarmoor::harness

#endif // MEDLARMOOR_HARNESS_RAW_HTTP_SERVER_HPP
