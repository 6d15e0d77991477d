#include <medlarmoor/routing/route.hpp>

namespace medlarmoor::routing {

const ServiceName &Route::serviceFor(std::uint64_t FlowHash) const noexcept {
  std::uint64_t TotalWeight = 0;
  for (const WeightedService &Entry : Services_)
    TotalWeight += Entry.Weight_;
  std::uint64_t Remainder = TotalWeight == 0 ? 0 : FlowHash % TotalWeight;
  for (const WeightedService &Entry : Services_) {
    if (Remainder < Entry.Weight_)
      return Entry.Service_;
    Remainder -= Entry.Weight_;
  }
  return Services_.front().Service_;
}

} // namespace medlarmoor::routing
