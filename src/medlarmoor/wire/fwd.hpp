#ifndef MEDLARMOOR_WIRE_FWD_HPP
#define MEDLARMOOR_WIRE_FWD_HPP

#include <cstdint>

namespace medlarmoor::wire {

enum class Phase : std::uint8_t;
struct ConfigNotice;
struct Envelope;
struct FlowUpdate;
struct Heartbeat;
struct Incoming;
struct LeaveNotice;
struct MemberTable;
struct MemberUpdate;
struct Outgoing;
struct TableRequest;
class HttpSeal;
class KeyRing;
class ReplayGuard;
class Sealer;

} // namespace medlarmoor::wire

#endif // MEDLARMOOR_WIRE_FWD_HPP
