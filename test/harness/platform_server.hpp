#ifndef MEDLARMOOR_HARNESS_PLATFORM_SERVER_HPP
#define MEDLARMOOR_HARNESS_PLATFORM_SERVER_HPP

#include <medlarmoor/core/endpoint.hpp>

#include <memory>
#include <string>

namespace boost::asio {
class io_context;
} // namespace boost::asio

namespace medlarmoor::harness {

/// The platform's object API over HTTP, in memory, with a second port on which
/// the harness sets faults, keeps the list of instances and reads counters.
/// Ports and shapes are those of docs/protocols.md.
class PlatformServer {
public:
  PlatformServer(boost::asio::io_context &Io, Endpoint Api, Endpoint Harness);
  ~PlatformServer();
  PlatformServer(const PlatformServer &) = delete;
  PlatformServer &operator=(const PlatformServer &) = delete;

  /// Binds both ports; false with lastReason().
  [[nodiscard]] bool listen();
  [[nodiscard]] const std::string &lastReason() const noexcept;

private:
  class Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace medlarmoor::harness

#endif // MEDLARMOOR_HARNESS_PLATFORM_SERVER_HPP
