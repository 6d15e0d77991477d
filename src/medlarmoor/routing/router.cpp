#include <medlarmoor/routing/router.hpp>

namespace medlarmoor::routing {

bool Router::adopt(RouteTable Table, std::uint64_t Revision) {
  if (Ready_ && Table.Version_ <= Table_.Version_)
    return false;
  if (Ready_)
    noteChanges(Table, Revision);
  else
    HistoryBegins_ = Revision;
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
  for (const Route &Each : Changes.Routes_)
    Next.Routes_.insert_or_assign(Each.Address_, Each);
  for (const Endpoint Each : Changes.Removed_)
    Next.Routes_.erase(Each);
  return adopt(std::move(Next), Revision);
}

RouteChanges Router::changesSince(std::uint64_t Revision) const {
  RouteChanges Out;
  Out.IsFullSnapshot_ = Revision < HistoryBegins_;
  Out.Version_ = Table_.Version_;
  Out.IdleTimeout_ = Table_.IdleTimeout_;
  if (Out.IsFullSnapshot_) {
    for (const auto &[Address, Each] : Table_.Routes_)
      Out.Routes_.push_back(Each);
    return Out;
  }
  for (const auto &[Address, At] : ChangedAt_) {
    if (At <= Revision)
      continue;
    if (const Route *Each = find(Address))
      Out.Routes_.push_back(*Each);
    else
      Out.Removed_.push_back(Address);
  }
  return Out;
}

void Router::noteChanges(const RouteTable &Next, std::uint64_t Revision) {
  for (const auto &[Address, Each] : Next.Routes_) {
    const Route *Before = find(Address);
    if (!Before || *Before != Each)
      ChangedAt_[Address] = Revision;
  }
  for (const auto &[Address, Each] : Table_.Routes_)
    if (!Next.Routes_.contains(Address))
      ChangedAt_[Address] = Revision;
}

const Route *Router::find(Endpoint Virtual) const noexcept {
  const auto Found = Table_.Routes_.find(Virtual);
  return Found == Table_.Routes_.end() ? nullptr : &Found->second;
}

} // namespace medlarmoor::routing
