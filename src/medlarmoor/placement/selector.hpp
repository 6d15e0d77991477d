#ifndef MEDLARMOOR_PLACEMENT_SELECTOR_HPP
#define MEDLARMOOR_PLACEMENT_SELECTOR_HPP

#include <medlarmoor/core/ids.hpp>
#include <medlarmoor/core/random.hpp>
#include <medlarmoor/core/time.hpp>
#include <medlarmoor/discovery/fwd.hpp>
#include <medlarmoor/placement/fwd.hpp>
#include <medlarmoor/placement/selection_policy.hpp>

#include <vector>

namespace medlarmoor::placement {

/// Chooses the upstream of a new flow.
class Selector {
public:
  /// Home is the failure domain of this instance.
  Selector(DomainName LocalDomain, SelectionPolicy Policy, Random Source);

  /// One of Candidates, or null when there is none. Ejected upstreams and
  /// Avoid are passed over as long as others are left.
  [[nodiscard]] const discovery::CatalogEntry *
  choose(const std::vector<const discovery::CatalogEntry *> &Candidates,
         const UpstreamStats &Stats, const discovery::CatalogEntry *Avoided,
         TimePoint Now);

private:
  using Pool = std::vector<const discovery::CatalogEntry *>;

  /// What a choice looks at.
  struct Inputs {
    const UpstreamStats &Stats_;
    TimePoint Now_;
  };

  /// Returns the cost of placing a new flow at the candidate.
  [[nodiscard]] double cost(const discovery::CatalogEntry &Candidate,
                            const Inputs &In) const;
  /// Returns true if the candidate has twice as many flows as slots or more.
  [[nodiscard]] bool overloaded(const discovery::CatalogEntry &Candidate,
                                const Inputs &In) const;
  const discovery::CatalogEntry *lowestCost(const Inputs &In,
                                            const LeastLoaded &Policy);
  const discovery::CatalogEntry *lowestCost(const Inputs &In,
                                            const PowerOfTwoChoices &Policy);
  const discovery::CatalogEntry *chooseFromPool(const Inputs &In);

  DomainName LocalDomain_;
  SelectionPolicy Policy_;
  Random Source_;
  Pool Pool_;
};

} // namespace medlarmoor::placement

#endif // MEDLARMOOR_PLACEMENT_SELECTOR_HPP
