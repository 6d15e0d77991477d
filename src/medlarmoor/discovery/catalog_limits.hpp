#ifndef MEDLARMOOR_DISCOVERY_CATALOG_LIMITS_HPP
#define MEDLARMOOR_DISCOVERY_CATALOG_LIMITS_HPP

#include <medlarmoor/core/time.hpp>

namespace medlarmoor::discovery {

/// How long the catalog keeps upstreams that the store does not list.
struct CatalogLimits {
  /// Time after an outage of the store during which an upstream that the store
  /// stops listing may register again and keeps receiving new flows. Must not
  /// be shorter than the interval at which the platform registers running
  /// upstreams.
  Millis ReregistrationGrace_{2000};
  /// Maximum age of a flow (setting flow_age_limit_s). A retired upstream is
  /// kept for this long, because its open flows may last until then.
  Millis MaxFlowAge_{60'000};
};

} // namespace medlarmoor::discovery

#endif // MEDLARMOOR_DISCOVERY_CATALOG_LIMITS_HPP
