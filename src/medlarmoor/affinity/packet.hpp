#ifndef MEDLARMOOR_AFFINITY_PACKET_HPP
#define MEDLARMOOR_AFFINITY_PACKET_HPP

#include <medlarmoor/affinity/flow_key.hpp>
#include <medlarmoor/affinity/tag.hpp>

#include <cstdint>

namespace medlarmoor::affinity {

/// The fields of a client's packet that forwarding uses.
struct Packet {
  FlowKey Flow_;
  Tag Tag_;
  /// The client's acknowledgement number; in a SYN, the number of times that it
  /// has been sent before.
  std::uint32_t Acknowledged_ = 0;
  /// Size of the payload.
  std::uint16_t PayloadBytes_ = 0;
  bool Syn_ = false;
  bool Fin_ = false;
  bool Rst_ = false;
};

} // namespace medlarmoor::affinity

#endif // MEDLARMOOR_AFFINITY_PACKET_HPP
