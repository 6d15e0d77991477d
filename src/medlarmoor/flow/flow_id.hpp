#ifndef MEDLARMOOR_FLOW_FLOW_ID_HPP
#define MEDLARMOOR_FLOW_FLOW_ID_HPP

#include <medlarmoor/core/endpoint.hpp>
#include <medlarmoor/core/hash.hpp>

#include <cstdint>

namespace medlarmoor::flow {

/// Index of a service in the entry's own list of services. Two entries may
/// number the same service differently, so messages carry hashes of the names.
using ServiceIndex = std::uint16_t;
/// Index of an upstream in its service's list on this entry.
using UpstreamIndex = std::uint16_t;

/// Width of a flow's hash in bits. Entries identify flows to each other by it.
inline constexpr unsigned FlowHashBits = 40;
inline constexpr std::uint64_t FlowHashMask = (1ULL << FlowHashBits) - 1;

/// Identifies one flow within one entry.
struct FlowId {
  ServiceIndex Service_ = 0;
  /// The flow's hash, FlowHashBits wide, equal on all entries.
  std::uint64_t Hash_ = 0;

  /// Returns service and hash packed into one number below 2^56.
  [[nodiscard]] std::uint64_t key() const noexcept {
    return (std::uint64_t{Service_} << FlowHashBits) | Hash_;
  }
  /// Returns the flow that a value of key() identifies.
  [[nodiscard]] static FlowId fromKey(std::uint64_t Key) noexcept {
    return {static_cast<ServiceIndex>(Key >> FlowHashBits), Key & FlowHashMask};
  }

  friend bool operator==(const FlowId &, const FlowId &) = default;
};

/// Returns the hash of a flow's two endpoints, FlowHashBits wide.
[[nodiscard]] inline std::uint64_t hashFlow(Endpoint Source,
                                            Endpoint Destination) noexcept {
  return mix(Source.packed(), Destination.packed()) >> (64U - FlowHashBits);
}

} // namespace medlarmoor::flow

#endif // MEDLARMOOR_FLOW_FLOW_ID_HPP
