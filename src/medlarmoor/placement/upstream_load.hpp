#ifndef MEDLARMOOR_PLACEMENT_UPSTREAM_LOAD_HPP
#define MEDLARMOOR_PLACEMENT_UPSTREAM_LOAD_HPP

#include <medlarmoor/affinity/tag.hpp>

#include <cstddef>
#include <cstdint>

namespace medlarmoor::placement {

/// The load that one instance reports for an upstream.
struct UpstreamLoad {
  /// Maximum number of upstreams in a report; it fits a datagram.
  static constexpr std::size_t MaxReported = 64;
  /// Upper bound of Tenths_: 10,000 flows. A higher value in a message is an
  /// error.
  static constexpr std::uint32_t MaxTenths = 100'000;

  affinity::Tag Upstream_;
  /// Flows of the instance with a handshake or request in progress, in tenths.
  std::uint32_t Tenths_ = 0;

  friend bool operator==(const UpstreamLoad &, const UpstreamLoad &) = default;
};

} // namespace medlarmoor::placement

#endif // MEDLARMOOR_PLACEMENT_UPSTREAM_LOAD_HPP
