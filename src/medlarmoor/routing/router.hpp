#ifndef MEDLARMOOR_ROUTING_ROUTER_HPP
#define MEDLARMOOR_ROUTING_ROUTER_HPP

#include <medlarmoor/routing/route_table.hpp>

namespace medlarmoor::routing {

/// Holds the newest route table that was learnt and never goes back to an
/// older one.
class Router {
public:
  /// Puts Table in force when its version is higher; tells whether it did.
  bool adopt(RouteTable Table);

  /// The route of a virtual address, or null.
  [[nodiscard]] const Route *find(Endpoint Virtual) const noexcept;
  /// True once a table is in force.
  [[nodiscard]] bool ready() const noexcept { return Ready_; }
  [[nodiscard]] const RouteTable &table() const noexcept { return Table_; }

private:
  RouteTable Table_;
  bool Ready_ = false;
};

} // namespace medlarmoor::routing

#endif // MEDLARMOOR_ROUTING_ROUTER_HPP
