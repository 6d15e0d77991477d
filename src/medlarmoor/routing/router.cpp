#include <medlarmoor/routing/router.hpp>

namespace medlarmoor::routing {

bool Router::adopt(RouteTable Table) {
  if (Ready_ && Table.Version_ <= Table_.Version_)
    return false;
  Table_ = std::move(Table);
  Ready_ = true;
  return true;
}

const Route *Router::find(Endpoint Virtual) const noexcept {
  const auto Found = Table_.Routes_.find(Virtual);
  return Found == Table_.Routes_.end() ? nullptr : &Found->second;
}

} // namespace medlarmoor::routing
