#ifndef MEDLARMOOR_PEERS_SYNC_STEP_HPP
#define MEDLARMOOR_PEERS_SYNC_STEP_HPP

namespace medlarmoor::peers {

/// What an instance does with the state of a collection that a peer announced.
enum class SyncStep : unsigned char {
  /// The state is no more recent than the own one, or comes from a reader that
  /// gives way to this instance.
  Ignore,
  /// The own data is complete as of the announced state, which replaces reading
  /// the store.
  Follow,
  /// The peer has changes that this instance lacks and has to fetch.
  Pull,
};

} // namespace medlarmoor::peers

#endif // MEDLARMOOR_PEERS_SYNC_STEP_HPP
