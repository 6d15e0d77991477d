#ifndef MEDLARMOOR_DISCOVERY_CATALOG_LIMITS_HPP
#define MEDLARMOOR_DISCOVERY_CATALOG_LIMITS_HPP

#include <medlarmoor/core/time.hpp>

namespace medlarmoor::discovery {

/// How long the catalog holds on to upstreams that the store does not list.
struct CatalogLimits {
  /// Upstreams that live register again within this time of the store's
  /// return (the platform's registration interval).
  Millis ReregistrationGrace_{2000};
  /// No flow is older than this (setting flow_age_limit_ms).
  Millis MaxFlowAge_{60'000};
};

} // namespace medlarmoor::discovery

#endif // MEDLARMOOR_DISCOVERY_CATALOG_LIMITS_HPP
