#ifndef MEDLARMOOR_ROUTING_ROUTER_HPP
#define MEDLARMOOR_ROUTING_ROUTER_HPP

#include <medlarmoor/routing/route_changes.hpp>
#include <medlarmoor/routing/route_table.hpp>

#include <cstdint>
#include <unordered_map>

namespace medlarmoor::routing {

/// Holds the newest route table received so far and never reverts to an older
/// one.
class Router {
public:
  /// Puts a table, which the store holds as of Revision, in force if its
  /// version is higher than that of the current one. Returns true if it did.
  bool adopt(RouteTable Table, std::uint64_t Revision);
  /// Applies Changes to the current table and puts the result in force if its
  /// version is higher. Returns true if it did.
  bool merge(const RouteChanges &Changes, std::uint64_t Revision);

  /// Returns the changes after Revision, or a full snapshot if they are no
  /// longer known one by one.
  [[nodiscard]] RouteChanges changesSince(std::uint64_t Revision) const;

  /// Returns the route of a virtual address, or null if there is none.
  [[nodiscard]] const Route *find(Endpoint Virtual) const noexcept;
  /// Returns true once a table is in force.
  [[nodiscard]] bool ready() const noexcept { return Ready_; }
  /// Returns the table in force; empty before ready().
  [[nodiscard]] const RouteTable &table() const noexcept { return Table_; }

private:
  /// Records which addresses differ between the current table and Next.
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
