#ifndef MEDLARMOOR_ADMISSION_WORK_ESTIMATES_HPP
#define MEDLARMOOR_ADMISSION_WORK_ESTIMATES_HPP

#include <medlarmoor/core/endpoint.hpp>
#include <medlarmoor/core/time.hpp>

#include <unordered_map>

namespace medlarmoor::admission {

/// Estimates how long an upstream works on a request of each route, from the
/// durations that this instance sees. These include the wait in the upstream's
/// queue, so the estimate follows short durations quickly and long ones slowly.
class WorkEstimates {
public:
  /// Records a request. Virtual is the virtual address of its route.
  void record(Endpoint Virtual, Nanos Duration);
  /// Returns the estimate for a route; 0 before the first request.
  [[nodiscard]] Nanos estimate(Endpoint Virtual) const noexcept;
  /// Drops the routes for which Keep returns false.
  template <typename Predicate> void retain(Predicate Keep) {
    std::erase_if(Estimates_,
                  [&](const auto &Item) { return !Keep(Item.first); });
  }

private:
  /// Seconds by virtual address.
  std::unordered_map<Endpoint, double> Estimates_;
};

} // namespace medlarmoor::admission

#endif // MEDLARMOOR_ADMISSION_WORK_ESTIMATES_HPP
