#ifndef MEDLARMOOR_PEERS_ADOPTION_HPP
#define MEDLARMOOR_PEERS_ADOPTION_HPP

namespace medlarmoor::peers {

/// What follows from changes that a peer has sent.
struct Adoption {
  /// True if the changes are newer than the own data and must be applied.
  bool Adopted_ = false;
  /// True if they show that the store has recovered from an outage or has been
  /// restored from an older copy.
  bool StoreRecovered_ = false;
};

} // namespace medlarmoor::peers

#endif // MEDLARMOOR_PEERS_ADOPTION_HPP
