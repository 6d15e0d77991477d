#ifndef MEDLARMOOR_PLACEMENT_OWNER_MAP_HPP
#define MEDLARMOOR_PLACEMENT_OWNER_MAP_HPP

#include <medlarmoor/affinity/tag.hpp>
#include <medlarmoor/core/ids.hpp>
#include <medlarmoor/placement/fleet_member.hpp>

#include <array>
#include <cstddef>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

namespace medlarmoor::placement {

/// Assigns each upstream two owners among the known instances, by rendezvous
/// hashing: an instance prefers the upstreams whose first owner it is, so that
/// most flows at an upstream pass through one instance and are counted there.
/// Instances that know different members compute different owners; nothing but
/// the quality of placement may depend on agreement.
class OwnerMap {
public:
  /// Owners in order of preference; the second one is unset if only one
  /// instance is known.
  using Owners = std::array<Endpoint, 2>;
  /// An upstream and its failure domain.
  using Location = std::pair<affinity::Tag, DomainName>;

  explicit OwnerMap(FleetMember Self);

  /// Recomputes the owners. Others are the other known instances. An upstream
  /// is owned by instances of its failure domain, or by any if there is none.
  /// As first owner, an instance gets at most its share of the upstreams of a
  /// failure domain, rounded up.
  void update(std::vector<Location> Upstreams, std::vector<FleetMember> Others);

  /// Returns true if this instance is the first owner of the upstream.
  [[nodiscard]] bool owns(affinity::Tag Upstream) const noexcept;
  /// Returns the owners of an upstream, or null if it is not known.
  [[nodiscard]] const Owners *owners(affinity::Tag Upstream) const noexcept;
  /// Returns true if this instance is the first of the upstream's group by hash
  /// alone, whatever share it has. Unlike owns(), this does not depend on which
  /// other upstreams this instance knows.
  [[nodiscard]] bool ranksFirst(affinity::Tag Upstream) const noexcept {
    return RankedFirst_.contains(Upstream);
  }
  /// Returns the number of upstreams whose first owner is this instance.
  [[nodiscard]] std::size_t ownedCount() const noexcept { return OwnedCount_; }

private:
  FleetMember Self_;
  std::unordered_map<affinity::Tag, Owners> Owners_;
  /// The upstreams for which this instance ranks first.
  std::unordered_set<affinity::Tag> RankedFirst_;
  std::size_t OwnedCount_ = 0;
};

} // namespace medlarmoor::placement

#endif // MEDLARMOOR_PLACEMENT_OWNER_MAP_HPP
