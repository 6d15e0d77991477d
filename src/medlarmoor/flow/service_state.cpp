#include <medlarmoor/core/hash.hpp>
#include <medlarmoor/flow/service_state.hpp>

#include <algorithm>

namespace medlarmoor::flow {

namespace {

using upstream::LifecycleEvent;
using upstream::LifecyclePhase;

/// Maximum number of retained tables, including the newest.
constexpr std::size_t MaxGenerations = 4;

/// Moves the upstream's lifecycle to the state that the document requests.
void applyDrainSetting(UpstreamState &State, bool Drain, TimePoint Now) {
  const LifecyclePhase Previous = State.Lifecycle_.phase();
  const bool Away =
      Previous == LifecyclePhase::Gone || Previous == LifecyclePhase::Draining;
  if (Drain && Previous == LifecyclePhase::Gone)
    State.Lifecycle_.apply(LifecycleEvent::Restored);
  if (Drain)
    State.Lifecycle_.apply(LifecycleEvent::Drained);
  else if (Away)
    State.Lifecycle_.apply(LifecycleEvent::Restored);
  if (Drain && Previous != LifecyclePhase::Draining)
    State.DrainedAt_ = Now;
  if (!Drain && Away)
    State.Successes_ = 0;
}

} // namespace

ServiceState::ServiceState(ServiceName Name)
    : Name_(std::move(Name)), Seed_(hashText(Name_.value())),
      WireId_(static_cast<std::uint32_t>(Seed_)) {}

bool ServiceState::adopt(const config::Service &Description,
                         const DomainName &Domain, ConfigVersion Version,
                         TimePoint Now) {
  const bool First = Generations_.empty();
  Policy_ = Description.Policy_;
  std::vector<bool> Present(Upstreams_.size() + Description.Upstreams_.size());
  for (const config::Upstream &Upstream : Description.Upstreams_) {
    const UpstreamIndex Index = findOrAdd(Upstream);
    Present[Index] = true;
    UpstreamState &State = Upstreams_[Index];
    State.Config_ = Upstream;
    State.AddressReused_ = false;
    if (First)
      State.Lifecycle_.apply(LifecycleEvent::Warmed);
    applyDrainSetting(State, Upstream.Drain_, Now);
  }
  for (std::size_t I = 0; I < Upstreams_.size(); ++I)
    if (!Present[I])
      Upstreams_[I].Lifecycle_.apply(LifecycleEvent::Removed);
  assignWireIds();
  for (UpstreamState &State : Upstreams_)
    State.InNewestTable_ = false;
  const std::vector<TableShare> Shares = shares(Domain);
  for (const TableShare &Share : Shares)
    Upstreams_[Share.Upstream_].InNewestTable_ = true;
  ConsistentTable Table(Shares);
  if (!First &&
      std::ranges::equal(Table.slots(), Generations_.back().Table_.slots()))
    return false;
  Generations_.push_back({Version, Now, std::move(Table)});
  if (Generations_.size() > MaxGenerations)
    Generations_.pop_front();
  return true;
}

void ServiceState::remove() {
  for (UpstreamState &State : Upstreams_)
    State.Lifecycle_.apply(LifecycleEvent::Removed);
}

void ServiceState::retire(TimePoint Now, Nanos Retention) {
  while (Generations_.size() > 1 && Now - Generations_[1].Since_ > Retention)
    Generations_.pop_front();
}

UpstreamIndex ServiceState::findOrAdd(const config::Upstream &Description) {
  std::optional<std::size_t> Unused;
  for (std::size_t I = 0; I < Upstreams_.size(); ++I) {
    if (Upstreams_[I].Config_.Name_ == Description.Name_)
      return static_cast<UpstreamIndex>(I);
    const bool Unreferenced =
        Upstreams_[I].Lifecycle_.phase() == LifecyclePhase::Gone &&
        Upstreams_[I].Records_ == 0 &&
        !inAnyTable(static_cast<UpstreamIndex>(I));
    if (!Unused && Unreferenced)
      Unused = I;
  }
  if (!Unused) {
    Unused = Upstreams_.size();
    Upstreams_.emplace_back();
  }
  UpstreamState Fresh;
  Fresh.Config_ = Description;
  Fresh.Seed_ = hashText(Description.Name_.value());
  Upstreams_[*Unused] = std::move(Fresh);
  return static_cast<UpstreamIndex>(*Unused);
}

void ServiceState::assignWireIds() {
  std::vector<UpstreamState *> Ordered;
  for (UpstreamState &State : Upstreams_)
    Ordered.push_back(&State);
  std::sort(Ordered.begin(), Ordered.end(),
            [](const UpstreamState *A, const UpstreamState *B) {
              return A->Seed_ < B->Seed_;
            });
  // Seeds rarely have equal low bits. Taking the next free id in the order of
  // the full hash yields the same ids on all entries that know the same
  // upstreams.
  std::vector<std::uint16_t> Taken;
  for (UpstreamState *State : Ordered) {
    auto Id = static_cast<std::uint16_t>(State->Seed_);
    while (std::find(Taken.begin(), Taken.end(), Id) != Taken.end())
      ++Id;
    Taken.push_back(Id);
    State->WireId_ = Id;
  }
}

std::vector<TableShare> ServiceState::shares(const DomainName &Domain) const {
  const auto Collect = [&](bool OwnDomain) {
    std::vector<TableShare> Collected;
    for (std::size_t I = 0; I < Upstreams_.size(); ++I) {
      const UpstreamState &State = Upstreams_[I];
      const LifecyclePhase Phase = State.Lifecycle_.phase();
      const bool Leaves =
          Phase == LifecyclePhase::Draining || Phase == LifecyclePhase::Gone;
      if (Leaves || (OwnDomain && State.Config_.Domain_ != Domain))
        continue;
      Collected.push_back(
          {static_cast<UpstreamIndex>(I), State.Seed_, State.Config_.Weight_});
    }
    return Collected;
  };
  std::vector<TableShare> Own = Collect(true);
  return Own.empty() ? Collect(false) : Own;
}

bool ServiceState::inAnyTable(UpstreamIndex Index) const noexcept {
  return std::any_of(Generations_.begin(), Generations_.end(),
                     [Index](const TableGeneration &Generation) {
                       return std::ranges::count(Generation.Table_.slots(),
                                                 Index) > 0;
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
  for (const TableGeneration &Generation : Generations_) {
    if (Generation.Table_.empty())
      continue;
    const UpstreamIndex Found = Generation.Table_.at(FlowHash);
    if (!Upstreams_[Found].AddressReused_)
      return Found;
  }
  return std::nullopt;
}

bool ServiceState::isOverride(std::uint64_t FlowHash,
                              UpstreamIndex Upstream) const noexcept {
  return std::any_of(Generations_.begin(), Generations_.end(),
                     [&](const TableGeneration &Generation) {
                       return Generation.Table_.empty() ||
                              Generation.Table_.at(FlowHash) != Upstream;
                     });
}

} // namespace medlarmoor::flow
