#ifndef MEDLARMOOR_FLOW_HOME_MAP_HPP
#define MEDLARMOOR_FLOW_HOME_MAP_HPP

#include <medlarmoor/flow/flow_id.hpp>
#include <medlarmoor/membership/view.hpp>

#include <cstdint>
#include <vector>

namespace medlarmoor::flow {

/// Flows of one service are spread over this many homes at most, so that the
/// entries that share one service's counts stay few in a large domain.
inline constexpr std::size_t ShardsPerService = 128;

/// The homes of all flows under one view. A home is found by rendezvous
/// hashing of (service, shard of the flow) when it is first asked for, so that
/// a packet costs one look-up, however many members there are.
class HomeMap {
public:
  HomeMap() = default;
  explicit HomeMap(membership::View Members);

  [[nodiscard]] const membership::View &view() const noexcept { return View_; }
  /// The home of a flow whose service's name has the hash ServiceSeed, or null
  /// when no member is live.
  [[nodiscard]] const membership::Member *home(FlowId Flow,
                                               std::uint64_t ServiceSeed);
  /// The member that would be home if Without were gone, or null.
  [[nodiscard]] const membership::Member *
  homeWithout(FlowId Flow, std::uint64_t ServiceSeed,
              const EntryName &Without) const;

private:
  [[nodiscard]] static std::size_t shardOf(FlowId Flow) noexcept {
    return Flow.Hash_ % ShardsPerService;
  }
  [[nodiscard]] static std::uint64_t keyOf(std::size_t Shard,
                                           std::uint64_t ServiceSeed) noexcept {
    return mix(ServiceSeed, Shard);
  }

  membership::View View_;
  /// Index of the member, or one of the two marks of home_map.cpp.
  std::vector<std::uint16_t> CachedHomes_;
};

} // namespace medlarmoor::flow

#endif // MEDLARMOOR_FLOW_HOME_MAP_HPP
