#include <medlarmoor/discovery/evacuations.hpp>

#include <unordered_set>

namespace medlarmoor::discovery {

EvacuationChanges Evacuations::apply(const EvacuationChanges &Changes,
                                     StoreRevision Revision, TimePoint Now) {
  EvacuationChanges Effect;
  const auto End = [&](const DomainName &Domain) {
    if (Domains_.erase(Domain) > 0)
      Effect.Removed_.push_back(Domain);
  };
  if (Changes.IsFullSnapshot_) {
    const std::unordered_set<DomainName> Listed(Changes.Listed_.begin(),
                                                Changes.Listed_.end());
    std::vector<DomainName> Missing;
    for (const auto &[Domain, Since] : Domains_)
      if (!Listed.contains(Domain))
        Missing.push_back(Domain);
    for (const DomainName &Domain : Missing)
      End(Domain);
    Ready_ = true;
  }
  for (const DomainName &Domain : Changes.Removed_)
    End(Domain);
  for (const DomainName &Domain : Changes.Listed_)
    if (Domains_.try_emplace(Domain, Now).second)
      Effect.Listed_.push_back(Domain);
  Revision_ = Revision;
  return Effect;
}

std::optional<TimePoint> Evacuations::since(const DomainName &Domain) const {
  const auto Found = Domains_.find(Domain);
  return Found == Domains_.end() ? std::nullopt : std::optional(Found->second);
}

EvacuationChanges Evacuations::changesSince(StoreRevision) const {
  EvacuationChanges Changes;
  Changes.IsFullSnapshot_ = true;
  Changes.Listed_.reserve(Domains_.size());
  for (const auto &[Domain, Since] : Domains_)
    Changes.Listed_.push_back(Domain);
  return Changes;
}

} // namespace medlarmoor::discovery
