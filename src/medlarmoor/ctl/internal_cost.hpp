#ifndef MEDLARMOOR_CTL_INTERNAL_COST_HPP
#define MEDLARMOOR_CTL_INTERNAL_COST_HPP

#include <medlarmoor/config/environment.hpp>

#include <vector>

namespace medlarmoor::ctl::internal {

/// What a change costs one service in one failure domain.
struct Cost {
  ServiceName Service_;
  DomainName Domain_;
  /// Share of the new flows that go to another upstream than before, from 0
  /// to 1. Established flows stay where they are.
  double Moved_ = 0;
  /// Connections that the upstreams that leave or are gone may hold.
  std::uint64_t FlowsAtStake_ = 0;
};

/// The costs of those services and domains where there are any.
[[nodiscard]] std::vector<Cost> costs(const config::Environment &Before,
                                      const config::Environment &After);

} // namespace medlarmoor::ctl::internal

#endif // MEDLARMOOR_CTL_INTERNAL_COST_HPP
