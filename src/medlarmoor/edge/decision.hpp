#ifndef MEDLARMOOR_EDGE_DECISION_HPP
#define MEDLARMOOR_EDGE_DECISION_HPP

#include <medlarmoor/affinity/tag.hpp>
#include <medlarmoor/core/time.hpp>
#include <medlarmoor/discovery/fwd.hpp>
#include <medlarmoor/edge/failed_request.hpp>

#include <cstdint>
#include <optional>
#include <variant>

namespace medlarmoor::edge {

/// Why a packet goes to its upstream.
enum class DeliverReason : unsigned char {
  /// Its flow is established.
  Established,
  /// It is the first packet of the client behind the handshake.
  Opened,
  /// It ends a flow.
  Ended,
  /// It opens a flow.
  Placed,
  /// It is a copy of the SYN that was sent to the same upstream.
  Repeated,
  /// The upstream of the earlier SYN did not answer; another one is tried.
  Moved,
};

/// Why a flow is reset before it opens.
enum class RejectReason : unsigned char {
  /// No route leads from its address.
  NoRoute,
  /// Its service has no upstream.
  NoUpstream,
};

/// Why a packet is dropped in silence.
enum class DropReason : unsigned char {
  /// Routes or upstreams have not been learnt yet.
  NotReady,
  /// What is known may be too old to refuse the flow.
  Outdated,
  /// The SYN can't be placed anew, but the upstream that got an earlier copy
  /// may have answered: a reset could cut a flow that opens meanwhile.
  HandshakePending,
  /// No upstream owns its tag.
  UnknownTag,
};

/// Send the packet to an upstream.
struct Deliver {
  /// Not null; valid until the catalog changes.
  const discovery::CatalogEntry *Upstream_ = nullptr;
  DeliverReason Reason_ = DeliverReason::Established;
  /// Upstreams that could have been chosen.
  std::uint32_t Candidates_ = 0;
  /// Flows at work there before this one, as this instance sees it.
  std::uint32_t Active_ = 0;
  /// Opened: since the first SYN. Ended: since it was opened.
  Nanos Elapsed_{0};
  /// Moved: the upstream that did not answer.
  affinity::Tag Previous_;
  /// Moved: for how long that one takes no new flows; 0 when it did not before.
  Millis Ejected_{0};
  /// Opened: the upstream had been ejected.
  bool Restored_ = false;
  /// The packet shows that a request of its flow failed.
  std::optional<FailedRequest> Failed_;
};

/// Answer the packet with a reset.
struct Reject {
  RejectReason Reason_ = RejectReason::NoRoute;
};

/// Ignore the packet.
struct Drop {
  DropReason Reason_ = DropReason::NotReady;
};

using Decision = std::variant<Deliver, Reject, Drop>;

} // namespace medlarmoor::edge

#endif // MEDLARMOOR_EDGE_DECISION_HPP
