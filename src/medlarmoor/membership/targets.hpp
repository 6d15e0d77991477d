#ifndef MEDLARMOOR_MEMBERSHIP_TARGETS_HPP
#define MEDLARMOOR_MEMBERSHIP_TARGETS_HPP

#include <medlarmoor/core/ids.hpp>
#include <medlarmoor/core/random.hpp>

#include <cstddef>
#include <vector>

namespace medlarmoor::membership {

/// The maximum number of peers at which each entry sends its heartbeats to all
/// of them. A failure domain with more peers is a large one.
inline constexpr std::size_t FullMeshPeers = 8;
/// The number of successors that watch an entry in a large failure domain.
inline constexpr std::size_t WatchersPerEntry = 2;
/// The number of further peers that receive a heartbeat in a large failure
/// domain; they are drawn at random for each heartbeat.
inline constexpr std::size_t RandomTargets = 2;
/// The number of peers to which an urgent update is sent immediately in a large
/// failure domain.
inline constexpr std::size_t UrgentTargets = 3;

/// Returns the peers to which Self sends its heartbeats: all Peers in a small
/// failure domain, otherwise the successors of Self on the ring of names. Peers
/// must be sorted and must not contain Self.
[[nodiscard]] std::vector<EntryName>
successors(const std::vector<EntryName> &Peers, const EntryName &Self);

/// Returns the peers that send their heartbeats to Self, the inverse of
/// successors(). The same preconditions apply to Peers.
[[nodiscard]] std::vector<EntryName>
predecessors(const std::vector<EntryName> &Peers, const EntryName &Self);

/// Appends up to Count of Peers, drawn at random, that Targets does not yet
/// contain.
void addRandom(std::vector<EntryName> &Targets,
               const std::vector<EntryName> &Peers, std::size_t Count,
               Random &Source);

} // namespace medlarmoor::membership

#endif // MEDLARMOOR_MEMBERSHIP_TARGETS_HPP
