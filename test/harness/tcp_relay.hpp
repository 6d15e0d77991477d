#ifndef MEDLARMOOR_HARNESS_TCP_RELAY_HPP
#define MEDLARMOOR_HARNESS_TCP_RELAY_HPP

#include <harness/fault_rules.hpp>
#include <harness/passed_bytes.hpp>
#include <harness/shown_addresses.hpp>
#include <medlarmoor/core/endpoint.hpp>

#include <memory>
#include <string>

namespace boost::asio {
class io_context;
} // namespace boost::asio

namespace medlarmoor::harness {

/// Accepts TCP connections on one endpoint and carries each to another, from
/// the address by which the client is known, as the rules allow. What a cut
/// holds back passes once it is healed.
class TcpRelay {
public:
  TcpRelay(boost::asio::io_context &Io, Endpoint Listen, Endpoint Target,
           std::string PortClass, const FaultRules &Rules, PassedBytes &Passed,
           const ShownAddresses &Shown);
  ~TcpRelay();
  TcpRelay(const TcpRelay &) = delete;
  TcpRelay &operator=(const TcpRelay &) = delete;

  /// Binds and accepts; false with lastReason().
  [[nodiscard]] bool listen();
  [[nodiscard]] const std::string &lastReason() const noexcept;
  /// The open connections that Rule matches carry nothing more, for good, and
  /// stay open at both ends; later ones work. Returns how many.
  std::size_t silence(const FaultRule &Rule);

private:
  class Impl;
  std::shared_ptr<Impl> Impl_;
};

} // namespace medlarmoor::harness

#endif // MEDLARMOOR_HARNESS_TCP_RELAY_HPP
