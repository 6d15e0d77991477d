#ifndef MEDLARMOOR_HARNESS_HELD_CONNECTIONS_HPP
#define MEDLARMOOR_HARNESS_HELD_CONNECTIONS_HPP

#include <medlarmoor/core/endpoint.hpp>

#include <cstddef>
#include <string_view>
#include <vector>

namespace medlarmoor::harness {

/// TCP connections that a hostile client opens, writes a few bytes to and
/// keeps open without ever reading.
class HeldConnections {
public:
  HeldConnections() = default;
  ~HeldConnections();
  HeldConnections(const HeldConnections &) = delete;
  HeldConnections &operator=(const HeldConnections &) = delete;

  /// Opens Count connections from Source to Where and writes Bytes to each as
  /// far as the system takes them; the number that was opened.
  std::size_t open(Ipv4 Source, Endpoint Where, std::size_t Count,
                   std::string_view Bytes);
  /// Writes Bytes to each connection, as far as the system takes them.
  void write(std::string_view Bytes) noexcept;

private:
  std::vector<int> Sockets_;
};

} // namespace medlarmoor::harness

#endif // MEDLARMOOR_HARNESS_HELD_CONNECTIONS_HPP
