#include <medlarmoor/routing/router.hpp>

namespace medlarmoor::routing {

bool Router::adopt(RouteTable Table) {
  if (Ready_ && Table.Version_ <= Table_.Version_) {
    if (Table.Version_ == Table_.Version_ && Table_.WarmUpRates_.empty())
      Table_.WarmUpRates_ = std::move(Table.WarmUpRates_);
    return false;
  }
  if (Ready_)
    recordChanges(Table);
  keepRejectedRates(Table);
  Versions_.insert(Table.Version_);
  trimHistory();
  Table_ = std::move(Table);
  Ready_ = true;
  return true;
}

bool Router::merge(const RouteChanges &Changes) {
  if (!canMerge(Changes))
    return false;
  RouteTable Next;
  if (!Changes.IsFullSnapshot_)
    Next.Routes_ = Table_.Routes_;
  Next.Version_ = Changes.Version_;
  Next.IdleTimeout_ = Changes.IdleTimeout_;
  Next.WarmUpRates_ = Changes.WarmUpRates_.value_or(Table_.WarmUpRates_);
  for (const Route &Changed : Changes.Routes_)
    Next.Routes_.insert_or_assign(Changed.Address_, Changed);
  for (const Endpoint Removed : Changes.Removed_)
    Next.Routes_.erase(Removed);
  return adopt(std::move(Next));
}

RouteChanges Router::changesSince(std::optional<ConfigVersion> Base) const {
  RouteChanges Changes;
  Changes.IsFullSnapshot_ = !Base || !Versions_.contains(*Base);
  Changes.Version_ = Table_.Version_;
  Changes.IdleTimeout_ = Table_.IdleTimeout_;
  Changes.WarmUpRates_ = Table_.WarmUpRates_;
  if (Changes.IsFullSnapshot_) {
    for (const auto &[Address, Current] : Table_.Routes_)
      Changes.Routes_.push_back(Current);
    return Changes;
  }
  Changes.Base_ = *Base;
  for (const auto &[Address, ChangeVersion] : ChangeVersions_) {
    if (ChangeVersion <= *Base)
      continue;
    if (const Route *Current = find(Address))
      Changes.Routes_.push_back(*Current);
    else
      Changes.Removed_.push_back(Address);
  }
  return Changes;
}

void Router::keepRejectedRates(RouteTable &Next) const {
  const bool AnyService = Next.RejectedServices_.contains(ServiceName());
  for (const auto &[Service, Rate] : Table_.WarmUpRates_)
    if (AnyService || Next.RejectedServices_.contains(Service))
      Next.WarmUpRates_.try_emplace(Service, Rate);
}

void Router::recordChanges(const RouteTable &Next) {
  for (const auto &[Address, NextRoute] : Next.Routes_) {
    const Route *Previous = find(Address);
    if (!Previous || *Previous != NextRoute)
      ChangeVersions_[Address] = Next.Version_;
  }
  for (const auto &[Address, Current] : Table_.Routes_)
    if (!Next.Routes_.contains(Address))
      ChangeVersions_[Address] = Next.Version_;
}

void Router::trimHistory() {
  if (Versions_.size() <= MaxVersions)
    return;
  Versions_.erase(Versions_.begin());
  std::erase_if(ChangeVersions_,
                [Oldest = *Versions_.begin()](const auto &Change) {
                  return Change.second <= Oldest;
                });
}

const Route *Router::find(Endpoint Virtual) const noexcept {
  const auto Found = Table_.Routes_.find(Virtual);
  return Found == Table_.Routes_.end() ? nullptr : &Found->second;
}

} // namespace medlarmoor::routing
