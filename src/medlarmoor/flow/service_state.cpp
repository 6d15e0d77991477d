#include <medlarmoor/core/hash.hpp>
#include <medlarmoor/flow/service_state.hpp>

#include <algorithm>

namespace medlarmoor::flow {

namespace {

using upstream::LifecycleEvent;
using upstream::LifecyclePhase;

/// Tables kept at once, the newest included.
constexpr std::size_t MostGenerations = 4;

/// Moves the upstream's life on to what the document asks.
void follow(UpstreamState &Each, bool Drain, TimePoint Now) {
  const LifecyclePhase Before = Each.Lifecycle_.phase();
  const bool Away =
      Before == LifecyclePhase::Gone || Before == LifecyclePhase::Draining;
  if (Drain && Before == LifecyclePhase::Gone)
    Each.Lifecycle_.apply(LifecycleEvent::Restored);
  if (Drain)
    Each.Lifecycle_.apply(LifecycleEvent::Drained);
  else if (Away)
    Each.Lifecycle_.apply(LifecycleEvent::Restored);
  if (Drain && Before != LifecyclePhase::Draining)
    Each.DrainedAt_ = Now;
  if (!Drain && Away)
    Each.Successes_ = 0;
}

} // namespace

ServiceState::ServiceState(ServiceName Name)
    : Name_(std::move(Name)), Seed_(hashText(Name_.value())),
      WireId_(static_cast<std::uint32_t>(Seed_)) {}

bool ServiceState::adopt(const config::Service &Wanted,
                         const DomainName &Domain, ConfigVersion Version,
                         TimePoint Now) {
  const bool First = Generations_.empty();
  Policy_ = Wanted.Policy_;
  std::vector<bool> Present(Upstreams_.size() + Wanted.Upstreams_.size());
  for (const config::Upstream &Each : Wanted.Upstreams_) {
    const UpstreamIndex Index = findOrAdd(Each);
    Present[Index] = true;
    UpstreamState &State = Upstreams_[Index];
    State.Config_ = Each;
    State.AddressReused_ = false;
    if (First)
      State.Lifecycle_.apply(LifecycleEvent::Warmed);
    follow(State, Each.Drain_, Now);
  }
  for (std::size_t I = 0; I < Upstreams_.size(); ++I)
    if (!Present[I])
      Upstreams_[I].Lifecycle_.apply(LifecycleEvent::Removed);
  assignWireIds();
  for (UpstreamState &Each : Upstreams_)
    Each.InNewestTable_ = false;
  const std::vector<TableShare> Shares = shares(Domain);
  for (const TableShare &Each : Shares)
    Upstreams_[Each.Upstream_].InNewestTable_ = true;
  ConsistentTable Table(Shares);
  if (!First &&
      std::ranges::equal(Table.slots(), Generations_.back().Table_.slots()))
    return false;
  Generations_.push_back({Version, Now, std::move(Table)});
  if (Generations_.size() > MostGenerations)
    Generations_.pop_front();
  return true;
}

void ServiceState::remove() {
  for (UpstreamState &Each : Upstreams_)
    Each.Lifecycle_.apply(LifecycleEvent::Removed);
}

void ServiceState::retire(TimePoint Now, Nanos Kept) {
  while (Generations_.size() > 1 && Now - Generations_[1].Since_ > Kept)
    Generations_.pop_front();
}

UpstreamIndex ServiceState::findOrAdd(const config::Upstream &Wanted) {
  std::optional<std::size_t> Unused;
  for (std::size_t I = 0; I < Upstreams_.size(); ++I) {
    if (Upstreams_[I].Config_.Name_ == Wanted.Name_)
      return static_cast<UpstreamIndex>(I);
    const bool Forgotten =
        Upstreams_[I].Lifecycle_.phase() == LifecyclePhase::Gone &&
        Upstreams_[I].Records_ == 0 &&
        !inAnyTable(static_cast<UpstreamIndex>(I));
    if (!Unused && Forgotten)
      Unused = I;
  }
  if (!Unused) {
    Unused = Upstreams_.size();
    Upstreams_.emplace_back();
  }
  UpstreamState Fresh;
  Fresh.Config_ = Wanted;
  Fresh.Seed_ = hashText(Wanted.Name_.value());
  Upstreams_[*Unused] = std::move(Fresh);
  return static_cast<UpstreamIndex>(*Unused);
}

void ServiceState::assignWireIds() {
  std::vector<UpstreamState *> Ordered;
  for (UpstreamState &Each : Upstreams_)
    Ordered.push_back(&Each);
  std::sort(Ordered.begin(), Ordered.end(),
            [](const UpstreamState *A, const UpstreamState *B) {
              return A->Seed_ < B->Seed_;
            });
  // Equal low bits are rare; the next free number in order of the whole hash
  // is the same on all entries that know the same upstreams.
  std::vector<std::uint16_t> Taken;
  for (UpstreamState *Each : Ordered) {
    auto Id = static_cast<std::uint16_t>(Each->Seed_);
    while (std::find(Taken.begin(), Taken.end(), Id) != Taken.end())
      ++Id;
    Taken.push_back(Id);
    Each->WireId_ = Id;
  }
}

std::vector<TableShare> ServiceState::shares(const DomainName &Domain) const {
  const auto Collect = [&](bool OwnDomain) {
    std::vector<TableShare> Out;
    for (std::size_t I = 0; I < Upstreams_.size(); ++I) {
      const UpstreamState &Each = Upstreams_[I];
      const LifecyclePhase Phase = Each.Lifecycle_.phase();
      const bool Leaves =
          Phase == LifecyclePhase::Draining || Phase == LifecyclePhase::Gone;
      if (Leaves || (OwnDomain && Each.Config_.Domain_ != Domain))
        continue;
      Out.push_back(
          {static_cast<UpstreamIndex>(I), Each.Seed_, Each.Config_.Weight_});
    }
    return Out;
  };
  std::vector<TableShare> Own = Collect(true);
  return Own.empty() ? Collect(false) : Own;
}

bool ServiceState::inAnyTable(UpstreamIndex Index) const noexcept {
  return std::any_of(Generations_.begin(), Generations_.end(),
                     [Index](const TableGeneration &Each) {
                       return std::ranges::count(Each.Table_.slots(), Index) >
                              0;
                     });
}

std::optional<UpstreamIndex>
ServiceState::findByWireId(std::uint16_t WireId) const noexcept {
  for (std::size_t I = 0; I < Upstreams_.size(); ++I)
    if (Upstreams_[I].WireId_ == WireId)
      return static_cast<UpstreamIndex>(I);
  return std::nullopt;
}

std::optional<UpstreamIndex>
ServiceState::defaultOf(std::uint64_t FlowHash) const noexcept {
  if (Generations_.empty() || Generations_.back().Table_.empty())
    return std::nullopt;
  return Generations_.back().Table_.at(FlowHash);
}

std::optional<UpstreamIndex>
ServiceState::establishedDefaultOf(std::uint64_t FlowHash) const noexcept {
  for (const TableGeneration &Each : Generations_) {
    if (Each.Table_.empty())
      continue;
    const UpstreamIndex Found = Each.Table_.at(FlowHash);
    if (!Upstreams_[Found].AddressReused_)
      return Found;
  }
  return std::nullopt;
}

bool ServiceState::isOverride(std::uint64_t FlowHash,
                              UpstreamIndex Upstream) const noexcept {
  return std::any_of(Generations_.begin(), Generations_.end(),
                     [&](const TableGeneration &Each) {
                       return Each.Table_.empty() ||
                              Each.Table_.at(FlowHash) != Upstream;
                     });
}

} // namespace medlarmoor::flow
