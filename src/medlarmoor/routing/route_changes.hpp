#ifndef MEDLARMOOR_ROUTING_ROUTE_CHANGES_HPP
#define MEDLARMOOR_ROUTING_ROUTE_CHANGES_HPP

#include <medlarmoor/core/endpoint.hpp>
#include <medlarmoor/core/ids.hpp>
#include <medlarmoor/core/time.hpp>
#include <medlarmoor/routing/route.hpp>

#include <vector>

namespace medlarmoor::routing {

/// What became of the route table between two of its versions.
struct RouteChanges {
  /// These are all routes, whatever there was before.
  bool IsFullSnapshot_ = false;
  /// The version that results.
  ConfigVersion Version_;
  Millis IdleTimeout_{0};
  /// Added or changed.
  std::vector<Route> Routes_;
  /// Virtual addresses without a route now; empty when Whole_.
  std::vector<Endpoint> Removed_;
};

} // namespace medlarmoor::routing

#endif // MEDLARMOOR_ROUTING_ROUTE_CHANGES_HPP
