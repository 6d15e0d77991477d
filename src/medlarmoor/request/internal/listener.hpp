#ifndef MEDLARMOOR_REQUEST_INTERNAL_LISTENER_HPP
#define MEDLARMOOR_REQUEST_INTERNAL_LISTENER_HPP

#include <medlarmoor/core/endpoint.hpp>
#include <medlarmoor/request/internal/open_request.hpp>

#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <set>
#include <string>

namespace medlarmoor::request::internal {

/// Returns the largest body that a request to Target may have, in bytes.
using BodyLimit = std::function<std::uint64_t(std::string_view Target)>;
/// Answers one request on its caller's connection. Returns false if the
/// connection must be closed. With Close, the response announces that the
/// connection will be closed.
using RequestHandler =
    std::function<Awaitable<bool>(HttpMessage, CallerStream, bool Close)>;
/// Answers a request whose body exceeds the limit.
using TooLargeHandler = std::function<Awaitable<void>(CallerStream)>;

/// Listens for HTTP/1.1 connections and serves the requests on them.
class Listener {
public:
  Listener(asio::io_context &Io, Endpoint Local, BodyLimit Limit,
           RequestHandler Answer, TooLargeHandler Refuse);

  /// Binds the endpoint and starts to accept. On failure, returns false and
  /// sets lastReason().
  [[nodiscard]] bool listen();
  /// Closes each connection after its current request. New connections are
  /// still accepted.
  void drain() noexcept { Closing_ = true; }
  /// Stops accepting. Requests that have arrived are answered, idle
  /// connections are closed.
  void close();
  /// Returns the number of open connections.
  [[nodiscard]] std::size_t open() const noexcept { return Sessions_.size(); }
  [[nodiscard]] const std::string &lastReason() const noexcept {
    return Reason_;
  }

private:
  struct Session {
    CallerStream Stream_;
    /// Waiting for the header of the next request.
    bool Idle_ = true;
    /// A complete request has arrived and is being answered.
    bool Answering_ = false;
    /// Bytes reserved for the body of the current request.
    std::uint64_t ReservedBytes_ = 0;
    /// Sequence number of the moment at which the session began to wait for
    /// its current request; the oldest session has the lowest.
    std::uint64_t WaitSequence_ = 0;
    bool Evicted_ = false;
  };

  [[nodiscard]] Awaitable<void> accept();
  [[nodiscard]] Awaitable<void> serve(std::shared_ptr<Session> Accepted);
  /// Closes the connection that has waited longest for its request to be
  /// complete. Returns false if all requests are being answered.
  bool evictOldest();
  /// Reserves room for a body. Evicts the oldest incomplete requests if the
  /// limit over all bodies is exceeded.
  void reserve(Session &Current, std::uint64_t Bytes);
  void release(Session &Current) noexcept;
  /// Reads and answers one request. Returns false if the connection must be
  /// closed.
  [[nodiscard]] Awaitable<bool> serveRequest(Session &Current,
                                             beast::flat_buffer &Buffer);

  asio::io_context &Io_;
  Endpoint Local_;
  BodyLimit Limit_;
  RequestHandler Answer_;
  TooLargeHandler Refuse_;
  asio::ip::tcp::acceptor Acceptor_;
  std::set<std::shared_ptr<Session>> Sessions_;
  /// Sum over all sessions.
  std::uint64_t ReservedBytes_ = 0;
  std::uint64_t LastSequence_ = 0;
  bool Closing_ = false;
  std::string Reason_;
};

} // namespace medlarmoor::request::internal

#endif // MEDLARMOOR_REQUEST_INTERNAL_LISTENER_HPP
