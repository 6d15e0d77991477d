#ifndef MEDLARMOOR_MEMBERSHIP_PEER_TABLE_HPP
#define MEDLARMOOR_MEMBERSHIP_PEER_TABLE_HPP

#include <medlarmoor/membership/peer.hpp>

#include <cstddef>
#include <map>
#include <vector>

namespace medlarmoor::membership {

/// The result of applying an update to the peer table.
enum class ApplyResult : unsigned char {
  /// The update was newer than the table and was applied.
  New,
  /// The update contains nothing new.
  Known,
  /// The update is about an earlier incarnation of the peer.
  Stale,
  /// The table has reached its capacity.
  Full,
};

/// All peers of the failure domain by name. Keeps gone peers for a while, so
/// that outdated updates about them are recognised.
class PeerTable {
public:
  /// Capacity bounds the number of peers, including gone ones. A gone peer is
  /// removed after GoneRetention.
  PeerTable(std::size_t Capacity, Nanos GoneRetention)
      : Capacity_(Capacity), GoneRetention_(GoneRetention) {}

  /// Applies Update if it is newer than what the table holds.
  ApplyResult apply(const wire::MemberUpdate &Update, TimePoint Now);
  /// Records that Sender itself was heard, which clears a suspicion.
  void markHeard(Peer &Sender, TimePoint Now) noexcept;

  /// Returns the peer of that name, or null.
  [[nodiscard]] Peer *find(const EntryName &Name) noexcept;
  [[nodiscard]] const Peer *find(const EntryName &Name) const noexcept;

  /// Marks the watched peers that have been silent for at least Silence as
  /// suspected and returns them.
  [[nodiscard]] std::vector<Peer *> suspectSilent(TimePoint Now, Nanos Silence);
  /// Marks the peers as gone that have been suspected and not heard for at
  /// least Period, and returns them.
  [[nodiscard]] std::vector<Peer *> expireSuspected(TimePoint Now,
                                                    Nanos Period);
  /// Removes the peers that have been gone for the retention period.
  void forgetGone(TimePoint Now);
  /// Marks every peer as just heard, because nothing could be received while
  /// this process did not run.
  void markAllHeard(TimePoint Now) noexcept;

  [[nodiscard]] std::map<EntryName, Peer> &peers() noexcept { return Peers_; }
  [[nodiscard]] const std::map<EntryName, Peer> &peers() const noexcept {
    return Peers_;
  }
  /// Returns the number of peers that are not gone.
  [[nodiscard]] std::size_t active() const noexcept;

private:
  ApplyResult insert(const wire::MemberUpdate &Update, TimePoint Now);
  static void overwrite(Peer &Known, const wire::MemberUpdate &Update,
                        TimePoint Now);

  std::size_t Capacity_;
  Nanos GoneRetention_;
  std::map<EntryName, Peer> Peers_;
};

} // namespace medlarmoor::membership

#endif // MEDLARMOOR_MEMBERSHIP_PEER_TABLE_HPP
