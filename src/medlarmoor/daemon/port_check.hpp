#ifndef MEDLARMOOR_DAEMON_PORT_CHECK_HPP
#define MEDLARMOOR_DAEMON_PORT_CHECK_HPP

#include <medlarmoor/config/fwd.hpp>
#include <medlarmoor/core/fwd.hpp>

#include <string>

namespace medlarmoor::daemon {

/// Tries each port that the settings name and adds a finding for each that
/// cannot be bound. File names the settings in the findings.
void checkPorts(const config::Settings &Given, const std::string &File,
                Findings &Out);

} // namespace medlarmoor::daemon

#endif // MEDLARMOOR_DAEMON_PORT_CHECK_HPP
