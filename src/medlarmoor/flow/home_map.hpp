#ifndef MEDLARMOOR_FLOW_HOME_MAP_HPP
#define MEDLARMOOR_FLOW_HOME_MAP_HPP

#include <medlarmoor/flow/flow_id.hpp>
#include <medlarmoor/membership/view.hpp>

#include <cstdint>
#include <vector>

namespace medlarmoor::flow {

/// Flows of one service are spread over at most this many homes, so that only
/// few entries of a large domain share the counts of one service.
inline constexpr std::size_t ShardsPerService = 128;

/// Maps every flow to its home under one view. A home is found by rendezvous
/// hashing of (service, shard of the flow) when it is first requested and then
/// cached, so that a packet costs one lookup however many members there are.
class HomeMap {
public:
  HomeMap() = default;
  explicit HomeMap(membership::View Members);

  [[nodiscard]] const membership::View &view() const noexcept { return View_; }
  /// Returns the home of a flow, or null if no member is live. ServiceSeed is
  /// the hash of the service's name.
  [[nodiscard]] const membership::Member *home(FlowId Flow,
                                               std::uint64_t ServiceSeed);
  /// Returns the member that would be home if Excluded were gone, or null.
  [[nodiscard]] const membership::Member *
  homeWithout(FlowId Flow, std::uint64_t ServiceSeed,
              const EntryName &Excluded) const;

private:
  [[nodiscard]] static std::size_t shardOf(FlowId Flow) noexcept {
    return Flow.Hash_ % ShardsPerService;
  }
  [[nodiscard]] static std::uint64_t keyOf(std::size_t Shard,
                                           std::uint64_t ServiceSeed) noexcept {
    return mix(ServiceSeed, Shard);
  }

  membership::View View_;
  /// For each service and shard the index of the member in the view, or one of
  /// the two reserved values in home_map.cpp.
  std::vector<std::uint16_t> CachedHomes_;
};

} // namespace medlarmoor::flow

#endif // MEDLARMOOR_FLOW_HOME_MAP_HPP
