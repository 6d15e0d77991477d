#ifndef MEDLARMOOR_ROUTING_ROUTE_TABLE_HPP
#define MEDLARMOOR_ROUTING_ROUTE_TABLE_HPP

#include <medlarmoor/core/ids.hpp>
#include <medlarmoor/core/time.hpp>
#include <medlarmoor/routing/route.hpp>

#include <unordered_map>

namespace medlarmoor::routing {

/// One version of all routes.
struct RouteTable {
  ConfigVersion Version_;
  /// A flow without packets for this long may be forgotten.
  Millis IdleTimeout_{0};
  std::unordered_map<Endpoint, Route> Routes_;
};

} // namespace medlarmoor::routing

#endif // MEDLARMOOR_ROUTING_ROUTE_TABLE_HPP
