#ifndef MEDLARMOOR_FLOW_DROP_REASON_HPP
#define MEDLARMOOR_FLOW_DROP_REASON_HPP

#include <cstddef>

namespace medlarmoor::flow {

/// Why a packet was dropped. Each is counted by itself.
enum class DropReason : unsigned char {
  /// The datagram is shorter than its encapsulation header says.
  TruncatedEncapsulation,
  /// Another version or type of encapsulation than IPv4 in GUE.
  UnknownEncapsulation,
  /// The inner packet is shorter than its own headers say.
  TruncatedPacket,
  /// Inner header fields contradict each other.
  MalformedPacket,
  Ipv6,
  Fragment,
  NotTcp,
  /// No service has the destination address and port.
  UnknownAddress,
  /// No configuration is in force yet.
  NoConfiguration,
  /// No live member can be home of the flow.
  NoHome,
  /// The packet was passed on between entries too often.
  TooManyHops,
  /// The flow's upstream has left and its address is in use by another service.
  UpstreamGone,
  /// The service has no upstream at all.
  NoUpstream,
};

/// How many reasons there are.
inline constexpr std::size_t DropReasonCount = 13;

/// The reason as a metric label.
[[nodiscard]] constexpr const char *name(DropReason Reason) noexcept {
  constexpr const char *Names[DropReasonCount] = {"truncated_encapsulation",
                                                  "unknown_encapsulation",
                                                  "truncated_packet",
                                                  "malformed_packet",
                                                  "ipv6",
                                                  "fragment",
                                                  "not_tcp",
                                                  "unknown_address",
                                                  "no_configuration",
                                                  "no_home",
                                                  "too_many_hops",
                                                  "upstream_gone",
                                                  "no_upstream"};
  return Names[static_cast<std::size_t>(Reason)];
}

} // namespace medlarmoor::flow

#endif // MEDLARMOOR_FLOW_DROP_REASON_HPP
