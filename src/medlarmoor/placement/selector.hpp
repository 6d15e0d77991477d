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
  Selector(DomainName Home, SelectionPolicy Policy, Random Source);

  /// One of Candidates, or null when there is none. Ejected upstreams and
  /// Avoid are passed over as long as others are left.
  [[nodiscard]] const discovery::CatalogEntry *
  choose(const std::vector<const discovery::CatalogEntry *> &Candidates,
         const UpstreamStats &Stats, const discovery::CatalogEntry *Avoid,
         TimePoint Now);

private:
  using Pool = std::vector<const discovery::CatalogEntry *>;

  /// What a choice looks at.
  struct View {
    const UpstreamStats &Stats_;
    TimePoint Now_;
  };

  [[nodiscard]] double cost(const discovery::CatalogEntry &Each,
                            const View &By) const;
  [[nodiscard]] bool overloaded(const discovery::CatalogEntry &Each,
                                const View &By) const;
  const discovery::CatalogEntry *lowestCost(const View &By,
                                            const LeastLoaded &Policy);
  const discovery::CatalogEntry *lowestCost(const View &By,
                                            const PowerOfTwoChoices &Policy);
  const discovery::CatalogEntry *fromPool(const View &By);

  DomainName Home_;
  SelectionPolicy Policy_;
  Random Source_;
  Pool Pool_;
};

} // namespace medlarmoor::placement

#endif // MEDLARMOOR_PLACEMENT_SELECTOR_HPP
