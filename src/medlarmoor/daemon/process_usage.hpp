#ifndef MEDLARMOOR_DAEMON_PROCESS_USAGE_HPP
#define MEDLARMOOR_DAEMON_PROCESS_USAGE_HPP

#include <medlarmoor/telemetry/fwd.hpp>

namespace medlarmoor::daemon {

/// Sets the gauges of memory and processor time of this process.
void noteProcessUsage(telemetry::Registry &Metrics);

} // namespace medlarmoor::daemon

#endif // MEDLARMOOR_DAEMON_PROCESS_USAGE_HPP
