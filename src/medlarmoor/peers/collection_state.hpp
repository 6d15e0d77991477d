#ifndef MEDLARMOOR_PEERS_COLLECTION_STATE_HPP
#define MEDLARMOOR_PEERS_COLLECTION_STATE_HPP

#include <medlarmoor/core/endpoint.hpp>
#include <medlarmoor/core/store_revision.hpp>
#include <medlarmoor/core/time.hpp>

namespace medlarmoor::peers {

/// How current an instance's data from one collection of the store is.
struct CollectionState {
  /// The instance has all changes up to this revision of the store.
  StoreRevision Revision_;
  /// The last revision up to Revision_ that changed the collection.
  StoreRevision LastChange_;
  /// Upper bound of the time since the data was complete in the store.
  Millis Age_{0};
  /// Gossip endpoint of the instance that read the store at that time.
  Endpoint Reader_;

  friend bool operator==(const CollectionState &,
                         const CollectionState &) = default;
};

} // namespace medlarmoor::peers

#endif // MEDLARMOOR_PEERS_COLLECTION_STATE_HPP
