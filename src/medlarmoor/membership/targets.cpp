#include <medlarmoor/membership/targets.hpp>

#include <algorithm>

namespace medlarmoor::membership {

namespace {

/// Where Self would stand among Peers.
std::size_t placeOf(const std::vector<EntryName> &Peers,
                    const EntryName &Self) {
  return static_cast<std::size_t>(
      std::lower_bound(Peers.begin(), Peers.end(), Self) - Peers.begin());
}

} // namespace

std::vector<EntryName> successors(const std::vector<EntryName> &Peers,
                                  const EntryName &Self) {
  if (Peers.size() <= FullMeshPeers)
    return Peers;
  const std::size_t Place = placeOf(Peers, Self);
  std::vector<EntryName> Out;
  for (std::size_t I = 0; I < RingWatchers; ++I)
    Out.push_back(Peers[(Place + I) % Peers.size()]);
  return Out;
}

std::vector<EntryName> predecessors(const std::vector<EntryName> &Peers,
                                    const EntryName &Self) {
  if (Peers.size() <= FullMeshPeers)
    return Peers;
  const std::size_t Place = placeOf(Peers, Self) + Peers.size();
  std::vector<EntryName> Out;
  for (std::size_t I = 1; I <= RingWatchers; ++I)
    Out.push_back(Peers[(Place - I) % Peers.size()]);
  return Out;
}

void addRandom(std::vector<EntryName> &Out, const std::vector<EntryName> &Peers,
               std::size_t Count, Random &Source) {
  if (Peers.empty())
    return;
  const std::size_t Goal = std::min(Out.size() + Count, Peers.size());
  // A few draws more than needed, since some hit one that is there already.
  for (std::size_t Draws = 4 * Count; Out.size() < Goal && Draws > 0; --Draws) {
    const EntryName &Drawn = Peers[Source() % Peers.size()];
    if (std::find(Out.begin(), Out.end(), Drawn) == Out.end())
      Out.push_back(Drawn);
  }
}

} // namespace medlarmoor::membership
