#ifndef MEDLARMOOR_ROUTING_ROUTER_HPP
#define MEDLARMOOR_ROUTING_ROUTER_HPP

#include <medlarmoor/routing/route_changes.hpp>
#include <medlarmoor/routing/route_table.hpp>

#include <cstdint>
#include <unordered_map>

namespace medlarmoor::routing {

/// Holds the newest route table that was learnt and never goes back to an
/// older one.
class Router {
public:
  /// Puts Table, which the store had as of Revision, in force when its version
  /// is higher; tells whether it did.
  bool adopt(RouteTable Table, std::uint64_t Revision);
  /// Puts the table in force that Changes make of the present one, when its
  /// version is higher; tells whether it did.
  bool merge(const RouteChanges &Changes, std::uint64_t Revision);

  /// What changed after Revision; all when that is no longer known.
  [[nodiscard]] RouteChanges changesSince(std::uint64_t Revision) const;

  /// The route of a virtual address, or null.
  [[nodiscard]] const Route *find(Endpoint Virtual) const noexcept;
  /// True once a table is in force.
  [[nodiscard]] bool ready() const noexcept { return Ready_; }
  [[nodiscard]] const RouteTable &table() const noexcept { return Table_; }

private:
  void recordChanges(const RouteTable &Next, std::uint64_t Revision);

  RouteTable Table_;
  bool Ready_ = false;
  /// Changes up to this revision are not known one by one.
  std::uint64_t HistoryStart_ = 0;
  /// The revision at which the route of each address last changed, including
  /// removed routes.
  std::unordered_map<Endpoint, std::uint64_t> ChangeRevisions_;
};

} // namespace medlarmoor::routing

#endif // MEDLARMOOR_ROUTING_ROUTER_HPP
