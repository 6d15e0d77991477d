#ifndef MEDLARMOOR_DAEMON_FWD_HPP
#define MEDLARMOOR_DAEMON_FWD_HPP

namespace medlarmoor::daemon {} // namespace medlarmoor::daemon

#endif // MEDLARMOOR_DAEMON_FWD_HPP
