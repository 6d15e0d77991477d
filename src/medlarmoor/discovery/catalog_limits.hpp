#ifndef MEDLARMOOR_DISCOVERY_CATALOG_LIMITS_HPP
#define MEDLARMOOR_DISCOVERY_CATALOG_LIMITS_HPP

#include <medlarmoor/core/time.hpp>

namespace medlarmoor::discovery {

/// How long the catalog keeps upstreams that the store does not list.
struct CatalogLimits {
  /// Time within which running upstreams register again after an outage of the
  /// store: the registration interval of the platform.
  Millis ReregistrationGrace_{2000};
  /// Maximum age of a flow (setting flow_age_limit_s).
  Millis MaxFlowAge_{60'000};
};

} // namespace medlarmoor::discovery

#endif // MEDLARMOOR_DISCOVERY_CATALOG_LIMITS_HPP
