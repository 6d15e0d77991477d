#ifndef MEDLARMOOR_FLOW_DECISION_HPP
#define MEDLARMOOR_FLOW_DECISION_HPP

#include <medlarmoor/core/endpoint.hpp>
#include <medlarmoor/flow/drop_reason.hpp>
#include <medlarmoor/flow/encapsulation.hpp>
#include <medlarmoor/flow/packet.hpp>

#include <variant>

namespace medlarmoor::flow {

/// Send the inner packet to the upstream's endpoint.
struct ToUpstream {
  Endpoint To_;
};

/// Forward the packet to another entry.
struct ToEntry {
  Ipv4 To_;
  PeerHeader Header_;
};

/// Why a flow was refused.
enum class RefuseReason : unsigned char {
  /// All upstreams of the service hold as many flows as they may.
  ServiceFull,
  /// The flow table holds as many flows as it may.
  TableFull,
  /// No upstream of the service accepts new flows.
  NoneReady,
};

/// Number of enumerators of RefuseReason.
inline constexpr std::size_t RefuseReasonCount = 3;

/// Returns the reason as a metric label.
[[nodiscard]] constexpr const char *name(RefuseReason Reason) noexcept {
  constexpr const char *Names[RefuseReasonCount] = {"service_full",
                                                    "table_full", "none_ready"};
  return Names[static_cast<std::size_t>(Reason)];
}

/// Answer the first packet with a TCP reset; it was never forwarded.
struct Refuse {
  RefuseReason Reason_;
  Packet FirstPacket_;
};

/// Drop the packet and count it.
struct Drop {
  DropReason Reason_;
};

/// What to do with one packet.
using Decision = std::variant<ToUpstream, ToEntry, Refuse, Drop>;

} // namespace medlarmoor::flow

#endif // MEDLARMOOR_FLOW_DECISION_HPP
