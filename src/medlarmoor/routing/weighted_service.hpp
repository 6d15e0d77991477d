#ifndef MEDLARMOOR_ROUTING_WEIGHTED_SERVICE_HPP
#define MEDLARMOOR_ROUTING_WEIGHTED_SERVICE_HPP

#include <medlarmoor/core/ids.hpp>

#include <cstdint>

namespace medlarmoor::routing {

/// A service and its share of a route's new flows.
struct WeightedService {
  ServiceName Service_;
  std::uint32_t Weight_ = 1;

  friend bool operator==(const WeightedService &,
                         const WeightedService &) = default;
};

} // namespace medlarmoor::routing

#endif // MEDLARMOOR_ROUTING_WEIGHTED_SERVICE_HPP
