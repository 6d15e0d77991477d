#ifndef MEDLARMOOR_DISCOVERY_FWD_HPP
#define MEDLARMOOR_DISCOVERY_FWD_HPP

namespace medlarmoor::discovery {

struct Upstream;
struct CatalogEntry;
struct UpstreamChanges;
struct CatalogLimits;
class Catalog;
struct EvacuationChanges;
class Evacuations;

} // namespace medlarmoor::discovery

#endif // MEDLARMOOR_DISCOVERY_FWD_HPP
