#ifndef MEDLARMOOR_PLACEMENT_FLEET_MEMBER_HPP
#define MEDLARMOOR_PLACEMENT_FLEET_MEMBER_HPP

#include <medlarmoor/core/endpoint.hpp>
#include <medlarmoor/core/ids.hpp>

namespace medlarmoor::placement {

/// An instance that places flows.
struct FleetMember {
  /// Where it receives gossip; identifies it.
  Endpoint Address_;
  DomainName Domain_;

  friend bool operator==(const FleetMember &, const FleetMember &) = default;
};

} // namespace medlarmoor::placement

#endif // MEDLARMOOR_PLACEMENT_FLEET_MEMBER_HPP
