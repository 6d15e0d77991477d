#ifndef MEDLARMOOR_CONFIG_UPSTREAM_HPP
#define MEDLARMOOR_CONFIG_UPSTREAM_HPP

#include <medlarmoor/core/endpoint.hpp>
#include <medlarmoor/core/ids.hpp>

#include <cstdint>

namespace medlarmoor::config {

/// An upstream of a service, as described by the environment document.
struct Upstream {
  UpstreamName Name_;
  DomainName Domain_;
  /// Receives encapsulated packets (UDP).
  Endpoint Packets_;
  /// Serves requests, health and load reports (HTTP).
  Endpoint Requests_;
  /// The maximum number of concurrent requests.
  std::uint32_t Slots_ = 2;
  /// The maximum number of concurrent flows.
  std::uint32_t Connections_ = 2000;
  /// The share of new work relative to other upstreams; greater than 0.
  double Weight_ = 1.0;
  /// A draining upstream receives no new work and completes the work in flight.
  bool Drain_ = false;

  friend bool operator==(const Upstream &, const Upstream &) = default;
};

} // namespace medlarmoor::config

#endif // MEDLARMOOR_CONFIG_UPSTREAM_HPP
