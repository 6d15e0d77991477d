#ifndef MEDLARMOOR_FLOW_FWD_HPP
#define MEDLARMOOR_FLOW_FWD_HPP

namespace medlarmoor::flow {

enum class DropReason : unsigned char;
enum class PeerIntent : unsigned char;
class ConsistentTable;
class Director;
class FlowTable;
class FlowThread;
class HomeMap;
class PeerLink;
class ServiceState;
struct FlowId;
struct FlowRecord;
struct Packet;
struct PeerHeader;
struct PreparedPacket;
struct UpstreamState;

} // namespace medlarmoor::flow

#endif // MEDLARMOOR_FLOW_FWD_HPP
