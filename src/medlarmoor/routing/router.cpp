#include <medlarmoor/routing/router.hpp>

namespace medlarmoor::routing {

bool Router::adopt(RouteTable Table, std::uint64_t Revision) {
  if (Ready_ && Table.Version_ <= Table_.Version_)
    return false;
  if (Ready_)
    recordChanges(Table, Revision);
  else
    HistoryStart_ = Revision;
  Table_ = std::move(Table);
  Ready_ = true;
  return true;
}

bool Router::merge(const RouteChanges &Changes, std::uint64_t Revision) {
  RouteTable Next;
  if (!Changes.IsFullSnapshot_)
    Next.Routes_ = Table_.Routes_;
  Next.Version_ = Changes.Version_;
  Next.IdleTimeout_ = Changes.IdleTimeout_;
  for (const Route &Changed : Changes.Routes_)
    Next.Routes_.insert_or_assign(Changed.Address_, Changed);
  for (const Endpoint Removed : Changes.Removed_)
    Next.Routes_.erase(Removed);
  return adopt(std::move(Next), Revision);
}

RouteChanges Router::changesSince(std::uint64_t Revision) const {
  RouteChanges Changes;
  Changes.IsFullSnapshot_ = Revision < HistoryStart_;
  Changes.Version_ = Table_.Version_;
  Changes.IdleTimeout_ = Table_.IdleTimeout_;
  if (Changes.IsFullSnapshot_) {
    for (const auto &[Address, Current] : Table_.Routes_)
      Changes.Routes_.push_back(Current);
    return Changes;
  }
  for (const auto &[Address, ChangeRevision] : ChangeRevisions_) {
    if (ChangeRevision <= Revision)
      continue;
    if (const Route *Current = find(Address))
      Changes.Routes_.push_back(*Current);
    else
      Changes.Removed_.push_back(Address);
  }
  return Changes;
}

void Router::recordChanges(const RouteTable &Next, std::uint64_t Revision) {
  for (const auto &[Address, NextRoute] : Next.Routes_) {
    const Route *Previous = find(Address);
    if (!Previous || *Previous != NextRoute)
      ChangeRevisions_[Address] = Revision;
  }
  for (const auto &[Address, Current] : Table_.Routes_)
    if (!Next.Routes_.contains(Address))
      ChangeRevisions_[Address] = Revision;
}

const Route *Router::find(Endpoint Virtual) const noexcept {
  const auto Found = Table_.Routes_.find(Virtual);
  return Found == Table_.Routes_.end() ? nullptr : &Found->second;
}

} // namespace medlarmoor::routing
