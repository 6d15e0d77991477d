#ifndef MEDLARMOOR_PEERS_COLLECTION_STATE_HPP
#define MEDLARMOOR_PEERS_COLLECTION_STATE_HPP

#include <medlarmoor/core/time.hpp>

#include <cstdint>

namespace medlarmoor::peers {

/// How much of one collection of the store an instance has.
struct CollectionState {
  /// It has all changes up to this revision of the store.
  std::uint64_t Upto_ = 0;
  /// The last of those revisions that changed the collection.
  std::uint64_t Changed_ = 0;
  /// How long ago that was known to be everything.
  Millis Age_{0};

  friend bool operator==(const CollectionState &,
                         const CollectionState &) = default;
};

} // namespace medlarmoor::peers

#endif // MEDLARMOOR_PEERS_COLLECTION_STATE_HPP
