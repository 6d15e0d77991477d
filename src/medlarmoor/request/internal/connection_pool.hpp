#ifndef MEDLARMOOR_REQUEST_INTERNAL_CONNECTION_POOL_HPP
#define MEDLARMOOR_REQUEST_INTERNAL_CONNECTION_POOL_HPP

#include <medlarmoor/core/endpoint.hpp>
#include <medlarmoor/core/time.hpp>
#include <medlarmoor/request/internal/http_types.hpp>

#include <memory>
#include <unordered_map>
#include <vector>

namespace medlarmoor::request::internal {

/// One outgoing connection and what was read of it ahead of need.
struct Connection {
  explicit Connection(asio::io_context &Io) : Stream_(Io) {}

  beast::tcp_stream Stream_;
  beast::flat_buffer Buffer_;
  Endpoint To_;
  /// Taken out of the pool: the other side may have lost track of it.
  bool Reused_ = false;
  std::chrono::steady_clock::time_point Idle_;
};
using ConnectionPtr = std::shared_ptr<Connection>;

/// Keeps idle connections for reuse. One that has been idle for long is
/// closed, since it may have gone silent.
class ConnectionPool {
public:
  ConnectionPool(asio::io_context &Io, Ipv4 Source)
      : Io_(Io), Source_(Source) {}

  /// An idle connection to To, or null.
  [[nodiscard]] ConnectionPtr reuse(Endpoint To);
  /// A new connection to To, or null when none comes about within Timeout.
  [[nodiscard]] Awaitable<ConnectionPtr> connect(Endpoint To, Nanos Timeout);
  /// Keeps a connection whose last exchange was whole.
  void giveBack(ConnectionPtr Idle);
  /// Closes all idle connections to To.
  void purge(Endpoint To);

private:
  asio::io_context &Io_;
  Ipv4 Source_;
  std::unordered_map<Endpoint, std::vector<ConnectionPtr>> Idle_;
};

} // namespace medlarmoor::request::internal

#endif // MEDLARMOOR_REQUEST_INTERNAL_CONNECTION_POOL_HPP
