#ifndef MEDLARMOOR_ROUTING_ROUTE_TABLE_HPP
#define MEDLARMOOR_ROUTING_ROUTE_TABLE_HPP

#include <medlarmoor/core/ids.hpp>
#include <medlarmoor/core/time.hpp>
#include <medlarmoor/routing/route.hpp>

#include <map>
#include <string>
#include <unordered_map>

namespace medlarmoor::routing {

/// A rate by service, in new flows per second.
using WarmUpRates = std::unordered_map<ServiceName, double>;

/// Maximum of a rate; a higher one is an error in the document.
constexpr double MaxWarmUpRate = 1'000'000;

/// A version of the complete set of routes.
struct RouteTable {
  ConfigVersion Version_;
  /// Time after which a flow without packets may be forgotten.
  Millis IdleTimeout_{0};
  /// Routes by virtual address.
  std::unordered_map<Endpoint, Route> Routes_;
  /// New flows per second that a cold upstream of each service can handle. A
  /// service without a value is not limited.
  WarmUpRates WarmUpRates_{};
  /// Services whose values cannot be read, with the reason. The empty name
  /// stands for any service: an entry has no readable name.
  std::map<ServiceName, std::string> RejectedServices_{};
};

} // namespace medlarmoor::routing

#endif // MEDLARMOOR_ROUTING_ROUTE_TABLE_HPP
