#ifndef MEDLARMOOR_DISCOVERY_UPSTREAM_HPP
#define MEDLARMOOR_DISCOVERY_UPSTREAM_HPP

#include <medlarmoor/core/endpoint.hpp>
#include <medlarmoor/core/ids.hpp>
#include <medlarmoor/core/time.hpp>

#include <cstdint>

namespace medlarmoor::discovery {

/// An upstream as it registered itself.
struct Upstream {
  UpstreamName Name_;
  ServiceName Service_;
  DomainName Domain_;
  Endpoint Address_;
  /// Names this upstream in the header of encapsulated packets, so that a
  /// later owner of the address ignores them.
  std::uint64_t Identity_ = 0;
  /// Requests that it works on at once.
  std::uint32_t Slots_ = 1;
  /// It leaves soon and takes no new flows.
  bool Draining_ = false;
  /// How much longer it is slow after its start.
  Millis WarmUp_{0};
  /// When its process started; 0 when it does not say.
  WallTime StartedAt_{};
  /// Revision of the store that created its entry.
  std::uint64_t CreatedRevision_ = 0;

  friend bool operator==(const Upstream &, const Upstream &) = default;
};

} // namespace medlarmoor::discovery

#endif // MEDLARMOOR_DISCOVERY_UPSTREAM_HPP
