#ifndef MEDLARMOOR_MEMBERSHIP_PEER_TABLE_HPP
#define MEDLARMOOR_MEMBERSHIP_PEER_TABLE_HPP

#include <medlarmoor/membership/peer.hpp>

#include <cstddef>
#include <map>
#include <vector>

namespace medlarmoor::membership {

/// What became of a fact that was applied to the table.
enum class Verdict : unsigned char {
  /// It was newer than what is known.
  New,
  /// It tells nothing new.
  Known,
  /// It is of an earlier run.
  Stale,
  /// The table has no room for a further peer.
  Full,
};

/// All peers of the failure domain by name, also those that have gone for a
/// while, so that old facts about them are recognised.
class PeerTable {
public:
  /// Capacity bounds the peers, gone ones included. A gone peer is forgotten
  /// after Remembered.
  PeerTable(std::size_t Capacity, Nanos Remembered)
      : Capacity_(Capacity), Remembered_(Remembered) {}

  /// Takes a fact in if it is newer than what is known.
  Verdict apply(const wire::MemberNews &Fact, TimePoint Now);
  /// The peer itself was heard.
  void heard(Peer &Each, TimePoint Now) noexcept;

  [[nodiscard]] Peer *find(const EntryName &Name) noexcept;
  [[nodiscard]] const Peer *find(const EntryName &Name) const noexcept;

  /// Marks the watched peers that were silent for Silence as suspected and
  /// returns them.
  [[nodiscard]] std::vector<Peer *> suspectSilent(TimePoint Now, Nanos Silence);
  /// Marks those as gone that were suspected and not heard for Period, and
  /// returns them.
  [[nodiscard]] std::vector<Peer *> expireSuspected(TimePoint Now,
                                                    Nanos Period);
  /// Forgets peers that went long ago.
  void forgetGone(TimePoint Now);
  /// Gives every peer a fresh lease, after this process did not run.
  void forgive(TimePoint Now) noexcept;

  [[nodiscard]] std::map<EntryName, Peer> &peers() noexcept { return Peers_; }
  [[nodiscard]] const std::map<EntryName, Peer> &peers() const noexcept {
    return Peers_;
  }
  /// Peers that take part.
  [[nodiscard]] std::size_t active() const noexcept;

private:
  Verdict insert(const wire::MemberNews &Fact, TimePoint Now);
  static void take(Peer &Each, const wire::MemberNews &Fact, TimePoint Now);

  std::size_t Capacity_;
  Nanos Remembered_;
  std::map<EntryName, Peer> Peers_;
};

} // namespace medlarmoor::membership

#endif // MEDLARMOOR_MEMBERSHIP_PEER_TABLE_HPP
