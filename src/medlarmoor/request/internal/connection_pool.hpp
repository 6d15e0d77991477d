#ifndef MEDLARMOOR_REQUEST_INTERNAL_CONNECTION_POOL_HPP
#define MEDLARMOOR_REQUEST_INTERNAL_CONNECTION_POOL_HPP

#include <medlarmoor/core/endpoint.hpp>
#include <medlarmoor/core/time.hpp>
#include <medlarmoor/request/internal/http_types.hpp>

#include <memory>
#include <unordered_map>
#include <vector>

namespace medlarmoor::request::internal {

/// One outgoing connection with the bytes that were read from it and not yet
/// parsed.
struct Connection {
  explicit Connection(asio::io_context &Io) : Stream_(Io) {}

  beast::tcp_stream Stream_;
  beast::flat_buffer Buffer_;
  Endpoint Remote_;
  /// Set when the connection was taken from the pool. The remote end may
  /// already have dropped such a connection.
  bool Reused_ = false;
  /// The time of the return to the pool.
  std::chrono::steady_clock::time_point IdleSince_;
};
using ConnectionPtr = std::shared_ptr<Connection>;

/// Keeps idle connections for reuse. A connection that has been idle for more
/// than 2 s is closed, since the remote end may no longer answer on it.
class ConnectionPool {
public:
  /// New connections are bound to the local address Source, if it is set.
  ConnectionPool(asio::io_context &Io, Ipv4 Source)
      : Io_(Io), Source_(Source) {}

  /// Returns an idle connection to Remote, or null.
  [[nodiscard]] ConnectionPtr reuse(Endpoint Remote);
  /// Opens a new connection to Remote. Returns null if it is not established
  /// within Timeout.
  [[nodiscard]] Awaitable<ConnectionPtr> connect(Endpoint Remote,
                                                 Nanos Timeout);
  /// Returns a connection to the pool. Its last exchange must be complete.
  void release(ConnectionPtr Idle);
  /// Closes all idle connections to Remote.
  void purge(Endpoint Remote);

private:
  asio::io_context &Io_;
  Ipv4 Source_;
  std::unordered_map<Endpoint, std::vector<ConnectionPtr>> Idle_;
};

} // namespace medlarmoor::request::internal

#endif // MEDLARMOOR_REQUEST_INTERNAL_CONNECTION_POOL_HPP
