#ifndef MEDLARMOOR_HARNESS_UPSTREAM_SERVER_HPP
#define MEDLARMOOR_HARNESS_UPSTREAM_SERVER_HPP

#include <medlarmoor/core/endpoint.hpp>

#include <cstdint>
#include <memory>
#include <set>
#include <string>

namespace boost::asio {
class io_context;
} // namespace boost::asio

namespace medlarmoor::harness {

/// Ports of every upstream stand-in on its own address.
inline constexpr std::uint16_t UpstreamPacketPort = 7200;
inline constexpr std::uint16_t UpstreamRequestPort = 7280;
inline constexpr std::uint16_t UpstreamHarnessPort = 7290;
/// UDP port on which a caller receives answers to its packets.
inline constexpr std::uint16_t CallerPacketPort = 7300;

/// What one upstream stand-in is.
struct UpstreamOptions {
  std::string Name_;
  Ipv4 Address_;
  /// The service addresses that it serves.
  std::set<Endpoint> ServiceAddresses_;
  std::uint64_t Slots_ = 2;
  std::uint64_t Connections_ = 2000;
  std::uint64_t Seed_ = 1;
};

/// One upstream: packets over UDP, requests and load reports over HTTP, and a
/// harness port for faults and counters. Shapes are those of
/// docs/protocols.md.
class UpstreamServer {
public:
  UpstreamServer(boost::asio::io_context &Io, UpstreamOptions Options);
  ~UpstreamServer();
  UpstreamServer(const UpstreamServer &) = delete;
  UpstreamServer &operator=(const UpstreamServer &) = delete;

  /// Binds all ports; false with lastReason().
  [[nodiscard]] bool listen();
  [[nodiscard]] const std::string &lastReason() const noexcept;

private:
  class Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace medlarmoor::harness

#endif // MEDLARMOOR_HARNESS_UPSTREAM_SERVER_HPP
