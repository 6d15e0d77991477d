#include <medlarmoor/placement/selector.hpp>

#include <medlarmoor/discovery/catalog_entry.hpp>
#include <medlarmoor/placement/ejector.hpp>
#include <medlarmoor/placement/flow_tracker.hpp>
#include <medlarmoor/placement/service_times.hpp>

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
/// Flows a slot from which an upstream is overloaded: one at work, one waiting.
constexpr double OverloadedFlows = 2.0;

} // namespace

Selector::Selector(DomainName Home, SelectionPolicy Policy, Random Source)
    : Home_(std::move(Home)), Policy_(Policy), Source_(Source) {}

const CatalogEntry *
Selector::choose(const std::vector<const CatalogEntry *> &Candidates,
                 const FlowTracker &Flows, const ServiceTimes &Times,
                 const Ejector &Outliers, const CatalogEntry *Avoid,
                 TimePoint Now) {
  const View Seen{Flows, Times, Now};
  Pool_.clear();
  std::size_t Ejected = 0;
  for (const CatalogEntry *Each : Candidates)
    if (Outliers.ejected(Each->Tag_, Now))
      ++Ejected;
    else if (Each != Avoid)
      Pool_.push_back(Each);
  const CatalogEntry *Chosen = fromPool(Seen);
  if (Chosen && (Ejected <= Outliers.most(Candidates.size()) ||
                 !overloaded(*Chosen, Seen)))
    return Chosen;
  // What is left is too little: the fault may be on the way to the others.
  Pool_.clear();
  for (const CatalogEntry *Each : Candidates)
    if (Each != Avoid || Candidates.size() == 1)
      Pool_.push_back(Each);
  return fromPool(Seen);
}

const CatalogEntry *Selector::fromPool(const View &Seen) {
  if (Pool_.empty())
    return nullptr;
  return std::visit(
      [&](const auto &Policy) { return lowestCost(Seen, Policy); }, Policy_);
}

double Selector::cost(const CatalogEntry &Each, const View &Seen) const {
  const double Speed = Each.warmingUp(Seen.Now_) ? ColdSpeed : 1.0;
  const double Slots = static_cast<double>(Each.Upstream_.Slots_) * Speed;
  const double Flows = static_cast<double>(Seen.Flows_.active(Each.Tag_));
  // The new flow takes longer where all flows do.
  const double Slowness = Seen.Times_.slowness(Each.Tag_, Seen.Now_);
  double Cost = ((Flows + 1.0) * Slowness - 1.0) / Slots;
  if (Each.Upstream_.Domain_ != Home_)
    Cost += RemoteCost;
  if (Each.State_ == CatalogEntry::State::Lapsed)
    Cost += LapsedCost;
  return Cost;
}

bool Selector::overloaded(const CatalogEntry &Each, const View &Seen) const {
  return static_cast<double>(Seen.Flows_.active(Each.Tag_)) >=
         OverloadedFlows * static_cast<double>(Each.Upstream_.Slots_);
}

const CatalogEntry *Selector::lowestCost(const View &Seen,
                                         const LeastLoaded &) {
  const CatalogEntry *Best = nullptr;
  double Lowest = 0;
  std::uint64_t Ties = 0;
  for (const CatalogEntry *Each : Pool_) {
    const double Cost = cost(*Each, Seen);
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

const CatalogEntry *Selector::lowestCost(const View &Seen,
                                         const RandomOfTwo &) {
  const CatalogEntry *A = Pool_[Source_() % Pool_.size()];
  const CatalogEntry *B = Pool_[Source_() % Pool_.size()];
  return cost(*B, Seen) < cost(*A, Seen) ? B : A;
}

} // namespace medlarmoor::placement
