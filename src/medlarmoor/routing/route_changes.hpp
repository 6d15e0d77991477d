#ifndef MEDLARMOOR_ROUTING_ROUTE_CHANGES_HPP
#define MEDLARMOOR_ROUTING_ROUTE_CHANGES_HPP

#include <medlarmoor/core/endpoint.hpp>
#include <medlarmoor/core/ids.hpp>
#include <medlarmoor/core/time.hpp>
#include <medlarmoor/routing/route.hpp>
#include <medlarmoor/routing/route_table.hpp>

#include <optional>
#include <vector>

namespace medlarmoor::routing {

/// Changes between two versions of the route table.
struct RouteChanges {
  /// True if Routes_ holds all routes and replaces any earlier table.
  bool IsFullSnapshot_ = false;
  /// The version of the table that the changes apply to; without meaning if
  /// IsFullSnapshot_.
  ConfigVersion Base_;
  /// The version of the resulting table.
  ConfigVersion Version_;
  /// The idle timeout of the resulting table.
  Millis IdleTimeout_{0};
  /// Routes that were added or changed.
  std::vector<Route> Routes_;
  /// Virtual addresses whose route was removed; empty if IsFullSnapshot_.
  std::vector<Endpoint> Removed_;
  /// All rates of the resulting table. No value if the sender is of an earlier
  /// version, which does not know them.
  std::optional<WarmUpRates> WarmUpRates_{};
};

} // namespace medlarmoor::routing

#endif // MEDLARMOOR_ROUTING_ROUTE_CHANGES_HPP
