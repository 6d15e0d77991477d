#include <medlarmoor/placement/selector.hpp>

#include <medlarmoor/discovery/catalog_entry.hpp>
#include <medlarmoor/placement/upstream_stats.hpp>

#include <algorithm>

namespace medlarmoor::placement {

using discovery::CatalogEntry;

namespace {

/// Extra cost of another failure domain, in shares of a busy upstream: what
/// its own instances are likely to have placed there unseen.
constexpr double RemoteCost = 0.5;
/// Extra cost of an upstream whose entry lapsed.
constexpr double LapsedCost = 1.0;
/// Extra cost of an upstream where every request fails. Half of that, a single
/// failure, outweighs another failure domain.
constexpr double FailureCost = 3.0;
/// Speed of an upstream that has just started, of one that is warm.
constexpr double ColdSpeed = 0.6;
/// Flows a slot from which an upstream is overloaded: one at work, one waiting.
constexpr double OverloadedFlows = 2.0;

} // namespace

Selector::Selector(DomainName Home, SelectionPolicy Policy, Random Source)
    : Home_(std::move(Home)), Policy_(Policy), Source_(Source) {}

const CatalogEntry *
Selector::choose(const std::vector<const CatalogEntry *> &Candidates,
                 const UpstreamStats &Stats, const CatalogEntry *Avoid,
                 TimePoint Now) {
  const View By{Stats, Now};
  Pool_.clear();
  std::size_t Ejected = 0;
  for (const CatalogEntry *Each : Candidates)
    if (Stats.Ejector_.ejected(Each->Tag_, Now))
      ++Ejected;
    else if (Each != Avoid)
      Pool_.push_back(Each);
  const CatalogEntry *Chosen = fromPool(By);
  if (Chosen && (Ejected <= Stats.Ejector_.maxEjected(Candidates.size()) ||
                 !overloaded(*Chosen, By)))
    return Chosen;
  // What is left is too little: the fault may be on the way to the others.
  Pool_.clear();
  for (const CatalogEntry *Each : Candidates)
    if (Each != Avoid || Candidates.size() == 1)
      Pool_.push_back(Each);
  return fromPool(By);
}

const CatalogEntry *Selector::fromPool(const View &By) {
  if (Pool_.empty())
    return nullptr;
  return std::visit([&](const auto &Policy) { return lowestCost(By, Policy); },
                    Policy_);
}

double Selector::cost(const CatalogEntry &Each, const View &By) const {
  const double Speed = Each.warmingUp(By.Now_) ? ColdSpeed : 1.0;
  const double Slots = static_cast<double>(Each.Upstream_.Slots_) * Speed;
  const double Flows = static_cast<double>(By.Stats_.Flows_.active(Each.Tag_));
  // The new flow takes longer where all flows do.
  const double Slowness = By.Stats_.ServiceTimes_.slowness(Each.Tag_, By.Now_);
  double Cost = ((Flows + 1.0) * Slowness - 1.0) / Slots;
  if (Each.Upstream_.Domain_ != Home_)
    Cost += RemoteCost;
  if (Each.State_ == CatalogEntry::State::Lapsed)
    Cost += LapsedCost;
  Cost += FailureCost * By.Stats_.FailureRates_.excess(Each.Tag_, By.Now_);
  return Cost;
}

bool Selector::overloaded(const CatalogEntry &Each, const View &By) const {
  return static_cast<double>(By.Stats_.Flows_.active(Each.Tag_)) >=
         OverloadedFlows * static_cast<double>(Each.Upstream_.Slots_);
}

const CatalogEntry *Selector::lowestCost(const View &By, const LeastLoaded &) {
  const CatalogEntry *Best = nullptr;
  double Lowest = 0;
  std::uint64_t Ties = 0;
  for (const CatalogEntry *Each : Pool_) {
    const double Cost = cost(*Each, By);
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

const CatalogEntry *Selector::lowestCost(const View &By,
                                         const PowerOfTwoChoices &) {
  const CatalogEntry *A = Pool_[Source_() % Pool_.size()];
  const CatalogEntry *B = Pool_[Source_() % Pool_.size()];
  return cost(*B, By) < cost(*A, By) ? B : A;
}

} // namespace medlarmoor::placement
