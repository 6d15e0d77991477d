#ifndef MEDLARMOOR_FLOW_DROP_REASON_HPP
#define MEDLARMOOR_FLOW_DROP_REASON_HPP

#include <cstddef>

namespace medlarmoor::flow {

/// Why a packet was dropped. Each reason has a counter of its own.
enum class DropReason : unsigned char {
  /// The datagram is shorter than its encapsulation header says.
  TruncatedEncapsulation,
  /// The encapsulation is of another version or type than IPv4 in GUE.
  UnknownEncapsulation,
  /// The inner packet is shorter than its own headers say.
  TruncatedPacket,
  /// Fields of the inner headers contradict each other.
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
  /// The packet has been forwarded between entries too many times.
  TooManyHops,
  /// The flow's upstream has left and its address is in use by another service.
  UpstreamGone,
  /// The service has no upstream at all.
  NoUpstream,
};

/// Number of enumerators of DropReason.
inline constexpr std::size_t DropReasonCount = 13;

/// Returns the reason as a metric label.
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
