#ifndef MEDLARMOOR_ROUTING_ROUTER_HPP
#define MEDLARMOOR_ROUTING_ROUTER_HPP

#include <medlarmoor/routing/route_changes.hpp>
#include <medlarmoor/routing/route_table.hpp>

#include <cstddef>
#include <optional>
#include <set>
#include <unordered_map>

namespace medlarmoor::routing {

/// Holds the newest route table received so far and never reverts to an older
/// one.
class Router {
public:
  /// Maximum number of versions since which changes are known one by one.
  static constexpr std::size_t MaxVersions = 64;

  /// Puts a table in force if its version is higher than that of the current
  /// one. Returns true if it did. A service whose rate cannot be read keeps its
  /// former one. A table of the same version only adds the rates if the current
  /// one has none, which is so after a merge from a peer of an earlier version.
  bool adopt(RouteTable Table);
  /// Applies Changes to the current table and puts the result in force if its
  /// version is higher. Returns true if it did, false also unless
  /// canMerge(Changes).
  bool merge(const RouteChanges &Changes);
  /// Returns true if Changes apply to the current table, or if they lead to no
  /// higher version than its own.
  [[nodiscard]] bool canMerge(const RouteChanges &Changes) const noexcept {
    return Changes.IsFullSnapshot_ ||
           (Ready_ && (Changes.Version_ <= Table_.Version_ ||
                       Changes.Base_ == Table_.Version_));
  }

  /// Returns the changes after version Base, or a full snapshot unless that
  /// version was in force here. The version identifies a table on all
  /// instances, whatever revisions of the store they have seen.
  [[nodiscard]] RouteChanges
  changesSince(std::optional<ConfigVersion> Base) const;

  /// Returns the route of a virtual address, or null if there is none.
  [[nodiscard]] const Route *find(Endpoint Virtual) const noexcept;
  /// Returns true once a table is in force.
  [[nodiscard]] bool ready() const noexcept { return Ready_; }
  /// Returns the table in force; empty before ready().
  [[nodiscard]] const RouteTable &table() const noexcept { return Table_; }

private:
  /// Adds the former rates of the services that Next rejects.
  void keepRejectedRates(RouteTable &Next) const;
  /// Records which addresses differ between the current table and Next.
  void recordChanges(const RouteTable &Next);
  /// Forgets the oldest versions and what changed before the remaining ones.
  void trimHistory();

  RouteTable Table_;
  bool Ready_ = false;
  /// The versions that were in force, the current one included.
  std::set<ConfigVersion> Versions_;
  /// The version with which the route of each address last changed, including
  /// removed routes.
  std::unordered_map<Endpoint, ConfigVersion> ChangeVersions_;
};

} // namespace medlarmoor::routing

#endif // MEDLARMOOR_ROUTING_ROUTER_HPP
