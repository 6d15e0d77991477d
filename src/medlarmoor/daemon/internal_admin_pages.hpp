#ifndef MEDLARMOOR_DAEMON_INTERNAL_ADMIN_PAGES_HPP
#define MEDLARMOOR_DAEMON_INTERNAL_ADMIN_PAGES_HPP

#include <medlarmoor/config/fwd.hpp>
#include <medlarmoor/core/time.hpp>
#include <medlarmoor/membership/control_status.hpp>
#include <medlarmoor/net/http_response.hpp>

#include <string>
#include <vector>

namespace medlarmoor::daemon::internal {

/// {"reason": Reason} with a status that is not 200.
[[nodiscard]] net::HttpResponse errorPage(unsigned Status,
                                          const std::string &Reason);
/// /healthz: 200 while no thread is stuck, else 503 with their names.
[[nodiscard]] net::HttpResponse
healthPage(const std::vector<std::string> &Stuck);
/// /readyz: 200 while a configuration is in force, the own lease is valid at
/// Now and the flow door, where there is one, has been handed its flows; else
/// 503 with the reasons.
[[nodiscard]] net::HttpResponse
readyPage(const membership::ControlStatus &Known, TimePoint Now, Nanos Lease,
          bool FlowsReady);
/// /status: what the entry is, acts on and sees.
[[nodiscard]] net::HttpResponse
statusPage(const config::Settings &Given,
           const membership::ControlStatus &Known);

} // namespace medlarmoor::daemon::internal

#endif // MEDLARMOOR_DAEMON_INTERNAL_ADMIN_PAGES_HPP
