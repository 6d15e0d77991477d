#include <medlarmoor/membership/targets.hpp>

#include <algorithm>

namespace medlarmoor::membership {

namespace {

/// Returns the index at which Self would be inserted into the sorted Peers.
std::size_t insertionIndex(const std::vector<EntryName> &Peers,
                           const EntryName &Self) {
  return static_cast<std::size_t>(
      std::lower_bound(Peers.begin(), Peers.end(), Self) - Peers.begin());
}

} // namespace

std::vector<EntryName> successors(const std::vector<EntryName> &Peers,
                                  const EntryName &Self) {
  if (Peers.size() <= FullMeshPeers)
    return Peers;
  const std::size_t Index = insertionIndex(Peers, Self);
  std::vector<EntryName> Watchers;
  for (std::size_t I = 0; I < WatchersPerEntry; ++I)
    Watchers.push_back(Peers[(Index + I) % Peers.size()]);
  return Watchers;
}

std::vector<EntryName> predecessors(const std::vector<EntryName> &Peers,
                                    const EntryName &Self) {
  if (Peers.size() <= FullMeshPeers)
    return Peers;
  const std::size_t Index = insertionIndex(Peers, Self) + Peers.size();
  std::vector<EntryName> Watched;
  for (std::size_t I = 1; I <= WatchersPerEntry; ++I)
    Watched.push_back(Peers[(Index - I) % Peers.size()]);
  return Watched;
}

void addRandom(std::vector<EntryName> &Targets,
               const std::vector<EntryName> &Peers, std::size_t Count,
               Random &Source) {
  if (Peers.empty())
    return;
  const std::size_t TargetCount =
      std::min(Targets.size() + Count, Peers.size());
  // Allows more draws than needed, because some draw a peer that Targets
  // already contains.
  for (std::size_t DrawsLeft = 4 * Count;
       Targets.size() < TargetCount && DrawsLeft > 0; --DrawsLeft) {
    const EntryName &Drawn = Peers[Source() % Peers.size()];
    if (std::find(Targets.begin(), Targets.end(), Drawn) == Targets.end())
      Targets.push_back(Drawn);
  }
}

} // namespace medlarmoor::membership
