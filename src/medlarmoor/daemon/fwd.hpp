#ifndef MEDLARMOOR_DAEMON_FWD_HPP
#define MEDLARMOOR_DAEMON_FWD_HPP

namespace medlarmoor::daemon {

struct Channels;
class AdminThread;
class Daemon;
class ProgressWatch;

} // namespace medlarmoor::daemon

#endif // MEDLARMOOR_DAEMON_FWD_HPP
