#ifndef MEDLARMOOR_MEMBERSHIP_TARGETS_HPP
#define MEDLARMOOR_MEMBERSHIP_TARGETS_HPP

#include <medlarmoor/core/ids.hpp>
#include <medlarmoor/core/random.hpp>

#include <cstddef>
#include <vector>

namespace medlarmoor::membership {

/// Up to this many peers an entry sends its heartbeats to all of them.
inline constexpr std::size_t FullMeshPeers = 8;
/// In a larger failure domain: the successors that watch an entry.
inline constexpr std::size_t RingWatchers = 2;
/// In a larger failure domain: further peers, drawn anew for each heartbeat.
inline constexpr std::size_t RandomTargets = 2;
/// In a larger failure domain: peers to whom urgent news go at once.
inline constexpr std::size_t UrgentTargets = 3;

/// Those of Peers (sorted, without Self) to whom the heartbeats of Self go: all
/// of a small domain, else its successors on the ring of names.
[[nodiscard]] std::vector<EntryName>
successors(const std::vector<EntryName> &Peers, const EntryName &Self);

/// Those of Peers whose heartbeats come to Self, the reverse of successors().
[[nodiscard]] std::vector<EntryName>
predecessors(const std::vector<EntryName> &Peers, const EntryName &Self);

/// Appends up to Count of Peers, drawn at random, that Out does not yet hold.
void addRandom(std::vector<EntryName> &Out, const std::vector<EntryName> &Peers,
               std::size_t Count, Random &Source);

} // namespace medlarmoor::membership

#endif // MEDLARMOOR_MEMBERSHIP_TARGETS_HPP
