#ifndef MEDLARMOOR_ROUTING_FWD_HPP
#define MEDLARMOOR_ROUTING_FWD_HPP

namespace medlarmoor::routing {

struct Route;
struct RouteChanges;
struct RouteTable;
struct WeightedService;
class Router;

} // namespace medlarmoor::routing

#endif // MEDLARMOOR_ROUTING_FWD_HPP
