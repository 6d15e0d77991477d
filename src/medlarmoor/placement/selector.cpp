#include <medlarmoor/placement/selector.hpp>

#include <medlarmoor/discovery/catalog_entry.hpp>
#include <medlarmoor/placement/upstream_stats.hpp>

#include <algorithm>

namespace medlarmoor::placement {

using discovery::CatalogEntry;

namespace {

/// Extra cost of an upstream in another failure domain, as a share of a fully
/// busy upstream. It accounts for the flows that the instances of that domain
/// are likely to have placed there, which this instance does not see.
constexpr double RemoteCost = 0.5;
/// Extra cost of an upstream that another instance owns, which accounts for the
/// flows that were placed there since its last report, and range of a random
/// addition, so that instances with the same reports choose different ones.
constexpr double UnownedCost = 0.5;
constexpr double UnownedJitter = 0.5;
/// Extra cost of an upstream whose entry in the store has lapsed.
constexpr double LapsedCost = 1.0;
/// Extra cost of an upstream where every request fails. Half of it, which a
/// single failure causes, outweighs the cost of another failure domain.
constexpr double FailureCost = 3.0;
/// Speed of an upstream that is warming up, as a share of its normal speed.
constexpr double ColdSpeed = 0.6;
/// Number of flows per slot from which an upstream is overloaded: one in
/// progress and one waiting.
constexpr double OverloadedFlowsPerSlot = 2.0;

} // namespace

Selector::Selector(DomainName LocalDomain, SelectionPolicy Policy,
                   Random Source, std::optional<ConcurrencyLimit> Limit)
    : LocalDomain_(std::move(LocalDomain)), Policy_(Policy), Source_(Source),
      Limit_(Limit) {}

Selection Selector::choose(const std::vector<const CatalogEntry *> &Candidates,
                           const UpstreamStats &Stats,
                           const CatalogEntry *Avoided, TimePoint Now) {
  const Inputs In{Stats, Now};
  Pool_.clear();
  std::size_t Ejected = 0;
  bool Limited = false;
  for (const CatalogEntry *Candidate : Candidates)
    if (Stats.WarmUp_.limited(*Candidate, Now))
      Limited = true;
    else if (Stats.Ejector_.ejected(Candidate->Tag_, Now) ||
             Stats.Silence_.silent(Candidate->Tag_, Now))
      ++Ejected;
    else if (Candidate != Avoided)
      Pool_.push_back({Candidate, Stats.load(Candidate->Tag_, Now)});
  const Selection Chosen = chooseFromPool(In);
  if (Chosen.Upstream_ &&
      (Ejected <= Stats.Ejector_.maxEjected(Candidates.size()) ||
       !(Chosen.Saturated_ ||
         Stats.load(Chosen.Upstream_->Tag_, Now) >=
             OverloadedFlowsPerSlot *
                 static_cast<double>(Chosen.Upstream_->Upstream_.Slots_))))
    return Chosen;
  // Too few upstreams remain, so ejections are ignored: the fault may be on the
  // network path to the ejected ones.
  Pool_.clear();
  for (const CatalogEntry *Candidate : Candidates)
    if ((Candidate != Avoided || Candidates.size() == 1) &&
        !Stats.WarmUp_.limited(*Candidate, Now))
      Pool_.push_back({Candidate, Stats.load(Candidate->Tag_, Now)});
  if (Pool_.empty())
    return {nullptr, Limited};
  return chooseFromPool(In);
}

Selection Selector::chooseFromPool(const Inputs &In) {
  if (Pool_.empty())
    return {};
  const auto Full = std::partition(
      Pool_.begin(), Pool_.end(),
      [&](const PoolItem &Candidate) { return !atLimit(Candidate); });
  const bool Saturated = Full == Pool_.begin();
  if (!Saturated)
    Pool_.erase(Full, Pool_.end());
  return {std::visit([&](const auto &Policy) { return lowestCost(In, Policy); },
                     Policy_),
          Saturated};
}

bool Selector::atLimit(const PoolItem &Candidate) const {
  return Limit_ &&
         Candidate.Load_ >= Limit_->of(Candidate.Entry_->Upstream_.Slots_);
}

double Selector::cost(const PoolItem &Item, const Inputs &In) const {
  const CatalogEntry &Candidate = *Item.Entry_;
  const double Speed = Candidate.warmingUp(In.Now_) ? ColdSpeed : 1.0;
  const double Slots = static_cast<double>(Candidate.Upstream_.Slots_) * Speed;
  // A new flow takes longer at an upstream where all flows take longer.
  const double Slowness =
      In.Stats_.ServiceTimes_.slowness(Candidate.Tag_, In.Now_);
  double Cost = ((Item.Load_ + 1.0) * Slowness - 1.0) / Slots;
  if (Candidate.Upstream_.Domain_ != LocalDomain_)
    Cost += RemoteCost;
  if (Candidate.State_ == CatalogEntry::State::Lapsed)
    Cost += LapsedCost;
  Cost += FailureCost * In.Stats_.FailureRates_.excess(Candidate.Tag_, In.Now_);
  return Cost;
}

double Selector::unownedCost(const CatalogEntry &Candidate, const Inputs &In) {
  if (In.Stats_.Owners_.ownedCount() == 0 ||
      In.Stats_.Owners_.owns(Candidate.Tag_))
    return 0;
  return UnownedCost +
         std::uniform_real_distribution<double>(0, UnownedJitter)(Source_);
}

const CatalogEntry *Selector::lowestCost(const Inputs &In,
                                         const LeastLoaded &) {
  const CatalogEntry *Cheapest = nullptr;
  double LowestCost = 0;
  std::uint64_t Ties = 0;
  for (const PoolItem &Item : Pool_) {
    const CatalogEntry &Candidate = *Item.Entry_;
    const double Cost = cost(Item, In) + unownedCost(Candidate, In);
    if (Cheapest && Cost > LowestCost)
      continue;
    if (Cheapest && Cost == LowestCost) {
      // Idle flows only decide between upstreams of equal cost: their next
      // requests come at any time.
      const std::uint32_t Flows = In.Stats_.Flows_.tracked(Candidate.Tag_);
      const std::uint32_t FewestFlows =
          In.Stats_.Flows_.tracked(Cheapest->Tag_);
      if (Flows > FewestFlows ||
          (Flows == FewestFlows && Source_() % ++Ties != 0))
        continue;
      if (Flows < FewestFlows)
        Ties = 1;
    } else {
      Ties = 1;
    }
    Cheapest = &Candidate;
    LowestCost = Cost;
  }
  return Cheapest;
}

const CatalogEntry *Selector::lowestCost(const Inputs &In,
                                         const PowerOfTwoChoices &) {
  const PoolItem &First = Pool_[Source_() % Pool_.size()];
  const PoolItem &Second = Pool_[Source_() % Pool_.size()];
  return cost(Second, In) < cost(First, In) ? Second.Entry_ : First.Entry_;
}

} // namespace medlarmoor::placement
