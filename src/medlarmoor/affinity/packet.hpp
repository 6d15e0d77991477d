#ifndef MEDLARMOOR_AFFINITY_PACKET_HPP
#define MEDLARMOOR_AFFINITY_PACKET_HPP

#include <medlarmoor/affinity/flow_key.hpp>
#include <medlarmoor/affinity/tag.hpp>

#include <cstdint>

namespace medlarmoor::affinity {

/// What forwarding needs to know of a client's packet.
struct Packet {
  FlowKey Flow_;
  Tag Tag_;
  /// The client's acknowledgement; a SYN counts its earlier copies here.
  std::uint32_t Acknowledged_ = 0;
  /// Bytes of data.
  std::uint16_t PayloadBytes_ = 0;
  bool Syn_ = false;
  bool Fin_ = false;
  bool Rst_ = false;
};

} // namespace medlarmoor::affinity

#endif // MEDLARMOOR_AFFINITY_PACKET_HPP
