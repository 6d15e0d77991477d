#ifndef MEDLARMOOR_CONFIG_SERVICE_HPP
#define MEDLARMOOR_CONFIG_SERVICE_HPP

#include <medlarmoor/config/service_policy.hpp>
#include <medlarmoor/config/upstream.hpp>

#include <vector>

namespace medlarmoor::config {

/// One service: the addresses that callers use and the upstreams behind them.
struct Service {
  ServiceName Name_;
  /// Destination addresses and ports of the inner packets (TCP).
  std::vector<Endpoint> Addresses_;
  ServicePolicy Policy_;
  std::vector<Upstream> Upstreams_;

  friend bool operator==(const Service &, const Service &) = default;
};

} // namespace medlarmoor::config

#endif // MEDLARMOOR_CONFIG_SERVICE_HPP
