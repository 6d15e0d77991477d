#ifndef MEDLARMOOR_ROUTING_ROUTE_TABLE_HPP
#define MEDLARMOOR_ROUTING_ROUTE_TABLE_HPP

#include <medlarmoor/core/ids.hpp>
#include <medlarmoor/core/time.hpp>
#include <medlarmoor/routing/route.hpp>

#include <unordered_map>

namespace medlarmoor::routing {

/// A version of the complete set of routes.
struct RouteTable {
  ConfigVersion Version_;
  /// Time after which a flow without packets may be forgotten.
  Millis IdleTimeout_{0};
  /// Routes by virtual address.
  std::unordered_map<Endpoint, Route> Routes_;
};

} // namespace medlarmoor::routing

#endif // MEDLARMOOR_ROUTING_ROUTE_TABLE_HPP
