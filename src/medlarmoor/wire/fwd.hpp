#ifndef MEDLARMOOR_WIRE_FWD_HPP
#define MEDLARMOOR_WIRE_FWD_HPP

namespace medlarmoor::wire {

struct ConfigNotice;
struct Farewell;
struct FlowUpdate;
struct Heartbeat;
struct Incoming;
struct Outgoing;

} // namespace medlarmoor::wire

#endif // MEDLARMOOR_WIRE_FWD_HPP
