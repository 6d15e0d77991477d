#ifndef MEDLARMOOR_EDGE_SNAPSHOT_HPP
#define MEDLARMOOR_EDGE_SNAPSHOT_HPP

#include <medlarmoor/peers/collection_state.hpp>

namespace medlarmoor::edge {

/// Changes of one collection that a peer sends, and how current they are.
template <typename Changes> struct Snapshot {
  peers::CollectionState State_;
  Changes Changes_;
};

} // namespace medlarmoor::edge

#endif // MEDLARMOOR_EDGE_SNAPSHOT_HPP
