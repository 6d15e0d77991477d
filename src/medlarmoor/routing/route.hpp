#ifndef MEDLARMOOR_ROUTING_ROUTE_HPP
#define MEDLARMOOR_ROUTING_ROUTE_HPP

#include <medlarmoor/core/endpoint.hpp>
#include <medlarmoor/core/time.hpp>
#include <medlarmoor/routing/request_kind.hpp>
#include <medlarmoor/routing/weighted_service.hpp>

#include <string>
#include <vector>

namespace medlarmoor::routing {

/// Assigns the new flows of one virtual address to services.
struct Route {
  std::string Name_;
  /// The virtual address to which clients connect.
  Endpoint Address_;
  /// Must not be empty.
  std::vector<WeightedService> Services_;
  RequestKind Kind_ = RequestKind::Unsafe;
  /// Time after which a request without an answer has failed.
  Millis Timeout_{0};
  /// Target for the time until an answer is received.
  Millis LatencyObjective_{0};
  /// 0 is the highest priority.
  unsigned Priority_ = 0;

  /// Returns the service for a flow with the given hash. All instances select
  /// the same one.
  [[nodiscard]] const ServiceName &
  serviceFor(std::uint64_t FlowHash) const noexcept;

  friend bool operator==(const Route &, const Route &) = default;
};

} // namespace medlarmoor::routing

#endif // MEDLARMOOR_ROUTING_ROUTE_HPP
