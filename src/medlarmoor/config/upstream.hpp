#ifndef MEDLARMOOR_CONFIG_UPSTREAM_HPP
#define MEDLARMOOR_CONFIG_UPSTREAM_HPP

#include <medlarmoor/core/endpoint.hpp>
#include <medlarmoor/core/ids.hpp>

#include <cstdint>

namespace medlarmoor::config {

/// One upstream of a service, as the environment document describes it.
struct Upstream {
  UpstreamName Name_;
  DomainName Domain_;
  /// Where encapsulated packets go (UDP).
  Endpoint Packets_;
  /// Where requests, health and load reports are served (HTTP).
  Endpoint Requests_;
  /// Requests it runs at once.
  std::uint32_t Slots_ = 2;
  /// Flows it holds at once.
  std::uint32_t Connections_ = 2000;
  /// Share of new work relative to the others, above 0.
  double Weight_ = 1.0;
  /// Leaving: it gets no new work and finishes what it has.
  bool Drain_ = false;

  friend bool operator==(const Upstream &, const Upstream &) = default;
};

} // namespace medlarmoor::config

#endif // MEDLARMOOR_CONFIG_UPSTREAM_HPP
