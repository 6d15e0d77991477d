#ifndef MEDLARMOOR_AFFINITY_FLOW_KEY_HPP
#define MEDLARMOOR_AFFINITY_FLOW_KEY_HPP

#include <medlarmoor/core/endpoint.hpp>
#include <medlarmoor/core/hash.hpp>

#include <compare>
#include <cstdint>
#include <functional>
#include <string>

namespace medlarmoor::affinity {

/// Identifies a flow by the addresses of its two ends.
struct FlowKey {
  Endpoint Client_;
  /// The address that the client connected to.
  Endpoint Virtual_;

  /// Returns a hash of both ends, which is equal on all instances.
  [[nodiscard]] std::uint64_t hash() const noexcept {
    return mix(Client_.packed(), Virtual_.packed());
  }

  /// Returns "client>virtual", the form in which logs identify a flow.
  [[nodiscard]] std::string text() const {
    return Client_.text() + ">" + Virtual_.text();
  }

  friend auto operator<=>(const FlowKey &, const FlowKey &) = default;
};

} // namespace medlarmoor::affinity

template <> struct std::hash<medlarmoor::affinity::FlowKey> {
  std::size_t
  operator()(const medlarmoor::affinity::FlowKey &Key) const noexcept {
    return Key.hash();
  }
};

#endif // MEDLARMOOR_AFFINITY_FLOW_KEY_HPP
