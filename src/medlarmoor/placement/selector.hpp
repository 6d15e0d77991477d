#ifndef MEDLARMOOR_PLACEMENT_SELECTOR_HPP
#define MEDLARMOOR_PLACEMENT_SELECTOR_HPP

#include <medlarmoor/core/ids.hpp>
#include <medlarmoor/core/random.hpp>
#include <medlarmoor/core/time.hpp>
#include <medlarmoor/discovery/fwd.hpp>
#include <medlarmoor/placement/concurrency_limit.hpp>
#include <medlarmoor/placement/fwd.hpp>
#include <medlarmoor/placement/selection.hpp>
#include <medlarmoor/placement/selection_policy.hpp>

#include <optional>
#include <vector>

namespace medlarmoor::placement {

/// Selects the upstream for a new flow.
class Selector {
public:
  /// LocalDomain is the failure domain of this instance.
  /// Without a limit, the number of requests at an upstream is not bounded.
  Selector(DomainName LocalDomain, SelectionPolicy Policy, Random Source,
           std::optional<ConcurrencyLimit> Limit = std::nullopt);

  /// Selects one of Candidates. Avoided is skipped unless it is the only
  /// candidate; null avoids none. Ejected upstreams are skipped unless that
  /// leaves no candidate, or too many are ejected and the selected one is
  /// overloaded. Upstreams at the concurrency limit are skipped unless all are.
  [[nodiscard]] Selection
  choose(const std::vector<const discovery::CatalogEntry *> &Candidates,
         const UpstreamStats &Stats, const discovery::CatalogEntry *Avoided,
         TimePoint Now);

private:
  /// A candidate and its estimated load.
  struct PoolItem {
    const discovery::CatalogEntry *Entry_;
    double Load_;
  };

  /// Measurements and time on which a selection is based.
  struct Inputs {
    const UpstreamStats &Stats_;
    TimePoint Now_;
  };

  /// Returns the cost of placing a new flow at the candidate.
  [[nodiscard]] double cost(const PoolItem &Item, const Inputs &In) const;
  /// Returns the additional cost of an upstream that another instance owns; 0
  /// if no owners are known.
  [[nodiscard]] double unownedCost(const discovery::CatalogEntry &Candidate,
                                   const Inputs &In);
  /// Returns true if the candidate is at the concurrency limit.
  [[nodiscard]] bool atLimit(const PoolItem &Candidate) const;
  const discovery::CatalogEntry *lowestCost(const Inputs &In,
                                            const LeastLoaded &Policy);
  const discovery::CatalogEntry *lowestCost(const Inputs &In,
                                            const PowerOfTwoChoices &Policy);
  /// Selects an upstream from Pool_ according to the policy, of those below the
  /// concurrency limit if there are any.
  Selection chooseFromPool(const Inputs &In);

  DomainName LocalDomain_;
  SelectionPolicy Policy_;
  Random Source_;
  std::optional<ConcurrencyLimit> Limit_;
  /// Candidates of the selection in progress.
  std::vector<PoolItem> Pool_;
};

} // namespace medlarmoor::placement

#endif // MEDLARMOOR_PLACEMENT_SELECTOR_HPP
