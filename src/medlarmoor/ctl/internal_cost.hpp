#ifndef MEDLARMOOR_CTL_INTERNAL_COST_HPP
#define MEDLARMOOR_CTL_INTERNAL_COST_HPP

#include <medlarmoor/config/environment.hpp>

#include <cstddef>
#include <cstdint>
#include <vector>

namespace medlarmoor::ctl::internal {

/// What a change costs one service in one failure domain.
struct Cost {
  ServiceName Service_;
  DomainName Domain_;
  /// Slots of the service's table, after the change or before, whichever is
  /// larger.
  std::size_t Slots_ = 0;
  /// Slots whose new flows go to another upstream than before. Established
  /// flows stay where they are.
  std::size_t Moved_ = 0;
  /// Connections that the upstreams that leave or are gone may hold.
  std::uint64_t FlowsAtStake_ = 0;
};

/// The costs of those services and domains where there are any.
[[nodiscard]] std::vector<Cost> costs(const config::Environment &Before,
                                      const config::Environment &After);

} // namespace medlarmoor::ctl::internal

#endif // MEDLARMOOR_CTL_INTERNAL_COST_HPP
