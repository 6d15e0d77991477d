#include <medlarmoor/routing/route.hpp>

namespace medlarmoor::routing {

const ServiceName &Route::serviceFor(std::uint64_t FlowHash) const noexcept {
  std::uint64_t Total = 0;
  for (const WeightedService &Each : Services_)
    Total += Each.Weight_;
  std::uint64_t Point = Total == 0 ? 0 : FlowHash % Total;
  for (const WeightedService &Each : Services_) {
    if (Point < Each.Weight_)
      return Each.Service_;
    Point -= Each.Weight_;
  }
  return Services_.front().Service_;
}

} // namespace medlarmoor::routing
