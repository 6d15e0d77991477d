#ifndef MEDLARMOOR_EDGE_FWD_HPP
#define MEDLARMOOR_EDGE_FWD_HPP

namespace medlarmoor::edge {

class EdgeServer;
class EvacuationHandler;
class Forwarder;
class HeldPackets;
class PauseDetector;
class Readiness;
class Placer;
class RequestMonitor;
struct Freshness;
struct PacketCodec;
struct ReleasedFlow;
struct StoreCodec;

} // namespace medlarmoor::edge

#endif // MEDLARMOOR_EDGE_FWD_HPP
