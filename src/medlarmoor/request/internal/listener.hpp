#ifndef MEDLARMOOR_REQUEST_INTERNAL_LISTENER_HPP
#define MEDLARMOOR_REQUEST_INTERNAL_LISTENER_HPP

#include <medlarmoor/core/endpoint.hpp>
#include <medlarmoor/request/internal/open_request.hpp>

#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <set>
#include <string>

namespace medlarmoor::request::internal {

/// Tells how large the body of a request to Target may be, in bytes.
using BodyLimit = std::function<std::uint64_t(std::string_view Target)>;
/// Answers one request on its caller's connection; false when the connection
/// is to be closed. Close asks for a response that announces the closing.
using Handler =
    std::function<Awaitable<bool>(HttpMessage, CallerStream, bool Close)>;
/// Answers a request whose body is over the limit.
using TooLargeHandler = std::function<Awaitable<void>(CallerStream)>;

/// A listener for HTTP/1.1 and the sessions that it has accepted.
class Listener {
public:
  Listener(asio::io_context &Io, Endpoint Where, BodyLimit Limit,
           Handler Answer, TooLargeHandler Refuse);

  /// Binds and accepts; false with lastReason().
  [[nodiscard]] bool listen();
  /// Lets each connection end after the request that it is at; accepts on.
  void drain() noexcept { Closing_ = true; }
  /// Accepts no more. Requests that have arrived are answered, idle
  /// connections are closed.
  void close();
  /// Connections that are open.
  [[nodiscard]] std::size_t open() const noexcept { return Sessions_.size(); }
  [[nodiscard]] const std::string &lastReason() const noexcept {
    return Reason_;
  }

private:
  struct Session {
    CallerStream Stream_;
    /// Between two requests.
    bool Idle_ = true;
    /// A whole request has arrived and is being answered.
    bool Answering_ = false;
    /// Bytes that the body of the request may take.
    std::uint64_t Reserved_ = 0;
    /// When it began to wait for its request, as a rising number.
    std::uint64_t Since_ = 0;
    bool Evicted_ = false;
  };

  [[nodiscard]] Awaitable<void> accept();
  [[nodiscard]] Awaitable<void> run(std::shared_ptr<Session> Of);
  /// Closes the connection that has waited longest for its request to become
  /// whole; false when each is being answered.
  bool evictOldest();
  /// Makes room for a body, at the cost of the oldest unfinished requests.
  void reserve(Session &Of, std::uint64_t Bytes);
  void release(Session &Of) noexcept;
  [[nodiscard]] Awaitable<bool> serveOne(Session &Of,
                                         beast::flat_buffer &Buffer);

  asio::io_context &Io_;
  Endpoint Where_;
  BodyLimit Limit_;
  Handler Answer_;
  TooLargeHandler Refuse_;
  asio::ip::tcp::acceptor Acceptor_;
  std::set<std::shared_ptr<Session>> Sessions_;
  std::uint64_t Reserved_ = 0;
  std::uint64_t Order_ = 0;
  bool Closing_ = false;
  std::string Reason_;
};

} // namespace medlarmoor::request::internal

#endif // MEDLARMOOR_REQUEST_INTERNAL_LISTENER_HPP
