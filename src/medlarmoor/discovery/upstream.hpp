#ifndef MEDLARMOOR_DISCOVERY_UPSTREAM_HPP
#define MEDLARMOOR_DISCOVERY_UPSTREAM_HPP

#include <medlarmoor/core/endpoint.hpp>
#include <medlarmoor/core/ids.hpp>
#include <medlarmoor/core/time.hpp>

#include <cstdint>

namespace medlarmoor::discovery {

/// An upstream with the values of its registration.
struct Upstream {
  UpstreamName Name_;
  ServiceName Service_;
  DomainName Domain_;
  Endpoint Address_;
  /// Identifies the upstream in the header of encapsulated packets, so that a
  /// later owner of the same address ignores them.
  std::uint64_t Identity_ = 0;
  /// Number of requests that it processes concurrently.
  std::uint32_t Slots_ = 1;
  /// True if it is about to leave and accepts no new flows.
  bool Draining_ = false;
  /// Remaining time during which it is slow after its start.
  Millis WarmUp_{0};
  /// Start time of its process; 0 if it is not reported.
  WallTime StartedAt_{};
  /// Revision of the store at which its entry was created.
  std::uint64_t CreatedRevision_ = 0;

  friend bool operator==(const Upstream &, const Upstream &) = default;
};

} // namespace medlarmoor::discovery

#endif // MEDLARMOOR_DISCOVERY_UPSTREAM_HPP
