#include <medlarmoor/placement/selector.hpp>

#include <medlarmoor/discovery/catalog_entry.hpp>
#include <medlarmoor/placement/ejector.hpp>
#include <medlarmoor/placement/flow_tracker.hpp>

#include <algorithm>

namespace medlarmoor::placement {

using discovery::CatalogEntry;

namespace {

/// Extra cost of another failure domain, in shares of a busy upstream: what
/// its own instances are likely to have placed there unseen.
constexpr double RemoteCost = 0.5;
/// Extra cost of an upstream whose entry lapsed.
constexpr double LapsedCost = 1.0;
/// Speed of an upstream that has just started, of one that is warm.
constexpr double ColdSpeed = 0.6;

} // namespace

Selector::Selector(DomainName Home, SelectionPolicy Policy, Random Source)
    : Home_(std::move(Home)), Policy_(Policy), Source_(Source) {}

const CatalogEntry *
Selector::choose(const std::vector<const CatalogEntry *> &Candidates,
                 const FlowTracker &Flows, const Ejector &Outliers,
                 const CatalogEntry *Avoid, TimePoint Now) {
  fillPool(Candidates, Outliers, Avoid, Now);
  if (Pool_.empty())
    return nullptr;
  return std::visit(
      [&](const auto &Policy) { return lowestCost(Flows, Now, Policy); },
      Policy_);
}

void Selector::fillPool(const Pool &Candidates, const Ejector &Outliers,
                        const CatalogEntry *Avoid, TimePoint Now) {
  Pool_.clear();
  for (const CatalogEntry *Each : Candidates)
    if (Each != Avoid && !Outliers.ejected(Each->Tag_, Now))
      Pool_.push_back(Each);
  // Too many ejected: the fault is more likely on the way to them.
  const std::size_t Left = Candidates.size() - Pool_.size();
  if (Pool_.empty() || Left > Outliers.most(Candidates.size()) + 1) {
    Pool_.clear();
    for (const CatalogEntry *Each : Candidates)
      if (Each != Avoid || Candidates.size() == 1)
        Pool_.push_back(Each);
  }
}

double Selector::cost(const CatalogEntry &Each, const FlowTracker &Flows,
                      TimePoint Now) const {
  const double Speed = Each.warmingUp(Now) ? ColdSpeed : 1.0;
  const double Slots = static_cast<double>(Each.Upstream_.Slots_) * Speed;
  double Cost = static_cast<double>(Flows.active(Each.Tag_)) / Slots;
  if (Each.Upstream_.Domain_ != Home_)
    Cost += RemoteCost;
  if (Each.State_ == CatalogEntry::State::Lapsed)
    Cost += LapsedCost;
  return Cost;
}

const CatalogEntry *Selector::lowestCost(const FlowTracker &Flows,
                                         TimePoint Now, const LeastLoaded &) {
  const CatalogEntry *Best = nullptr;
  double Lowest = 0;
  std::uint64_t Ties = 0;
  for (const CatalogEntry *Each : Pool_) {
    const double Cost = cost(*Each, Flows, Now);
    if (!Best || Cost < Lowest) {
      Best = Each;
      Lowest = Cost;
      Ties = 1;
    } else if (Cost == Lowest && Source_() % ++Ties == 0) {
      Best = Each;
    }
  }
  return Best;
}

const CatalogEntry *Selector::lowestCost(const FlowTracker &Flows,
                                         TimePoint Now, const RandomOfTwo &) {
  const CatalogEntry *A = Pool_[Source_() % Pool_.size()];
  const CatalogEntry *B = Pool_[Source_() % Pool_.size()];
  return cost(*B, Flows, Now) < cost(*A, Flows, Now) ? B : A;
}

} // namespace medlarmoor::placement
