#include <medlarmoor/placement/upstream_stats.hpp>

#include <medlarmoor/discovery/catalog_entry.hpp>

namespace medlarmoor::placement {

std::uint32_t UpstreamStats::ownedSlots(
    const std::vector<const discovery::CatalogEntry *> &Candidates)
    const noexcept {
  std::uint32_t Owned = 0;
  std::uint32_t All = 0;
  for (const discovery::CatalogEntry *Candidate : Candidates) {
    All += Candidate->Upstream_.Slots_;
    if (Owners_.owns(Candidate->Tag_))
      Owned += Candidate->Upstream_.Slots_;
  }
  return Owned > 0 ? Owned : All;
}

} // namespace medlarmoor::placement
