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
  /// Every upstream of the service that accepts new flows has reached its
  /// connection limit, or this entry may not use the connections that are left
  /// at present; see hasRoom().
  ServiceFull,
  /// This entry has reached its limit of open flows, or its flow table is full.
  TableFull,
  /// The service's newest table is empty: it has no upstream, or all of them
  /// are draining or gone.
  NoneReady,
};

inline constexpr std::size_t RefuseReasonCount = 3;

/// Returns the reason as a metric label.
[[nodiscard]] constexpr const char *name(RefuseReason Reason) noexcept {
  constexpr const char *Names[RefuseReasonCount] = {"service_full",
                                                    "table_full", "none_ready"};
  return Names[static_cast<std::size_t>(Reason)];
}

/// Answer the flow's first packet with a TCP reset instead of forwarding it to
/// an upstream.
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
