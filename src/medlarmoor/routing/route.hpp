#ifndef MEDLARMOOR_ROUTING_ROUTE_HPP
#define MEDLARMOOR_ROUTING_ROUTE_HPP

#include <medlarmoor/core/endpoint.hpp>
#include <medlarmoor/core/time.hpp>
#include <medlarmoor/routing/request_kind.hpp>
#include <medlarmoor/routing/weighted_service.hpp>

#include <string>
#include <vector>

namespace medlarmoor::routing {

/// Where new flows to one virtual address go.
struct Route {
  std::string Name_;
  /// The virtual address that clients connect to.
  Endpoint Address_;
  /// At least one.
  std::vector<WeightedService> Services_;
  RequestKind Kind_ = RequestKind::Unsafe;
  /// A request without an answer for this long has failed.
  Millis Timeout_{0};
  /// Answers within this time are on time.
  Millis LatencyObjective_{0};
  /// 0 is the highest.
  unsigned Priority_ = 0;

  /// The service for a flow with that hash; equal on all instances.
  [[nodiscard]] const ServiceName &
  serviceFor(std::uint64_t FlowHash) const noexcept;

  friend bool operator==(const Route &, const Route &) = default;
};

} // namespace medlarmoor::routing

#endif // MEDLARMOOR_ROUTING_ROUTE_HPP
