#ifndef MEDLARMOOR_EDGE_DECISION_HPP
#define MEDLARMOOR_EDGE_DECISION_HPP

#include <medlarmoor/affinity/tag.hpp>
#include <medlarmoor/core/time.hpp>
#include <medlarmoor/discovery/fwd.hpp>
#include <medlarmoor/edge/failed_request.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <variant>

namespace medlarmoor::edge {

/// Why a packet goes to its upstream.
enum class DeliverReason : unsigned char {
  /// Its flow is established.
  Established,
  /// It is the client's first packet after the handshake.
  Opened,
  /// It ends a flow.
  Ended,
  /// It opens a flow.
  Placed,
  /// It is a SYN that goes to the same upstream once more.
  Repeated,
  /// The upstream of the earlier SYN did not answer; another one is tried.
  Moved,
};

/// Why a packet is answered with a reset.
enum class RejectReason : unsigned char {
  /// SYN: no route matches its destination address.
  NoRoute,
  /// SYN: its service has no upstream.
  NoUpstream,
  /// SYN: no upstream of its service has a free slot, and the flow would wait
  /// for too long.
  Overloaded,
  /// SYN: all upstreams of its service are cold and get no more flows now.
  WarmingUp,
  /// SYN: all upstreams of its service are in evacuated failure domains.
  Evacuated,
};

/// Why a packet is dropped without an answer.
enum class DropReason : unsigned char {
  /// The routes or the upstreams may be too old to refuse the flow.
  Outdated,
  /// No upstream can be chosen for the repeated SYN, but the upstream of an
  /// earlier SYN may have answered: a reset could break a flow that is being
  /// opened.
  HandshakePending,
  /// No upstream in the catalog has its tag.
  UnknownTag,
  /// It is a copy of a SYN that waits for a free slot.
  Waiting,
  /// It is a SYN that waited in the socket while this instance was paused. Its
  /// client has given up or repeated it, and the flow may have been opened
  /// through another instance.
  Stale,
};

/// What the wait for a free slot is predicted from.
struct QueueState {
  unsigned Priority_ = 0;
  /// Number of waiting flows that are placed before this one.
  std::size_t Ahead_ = 0;
  Millis PredictedWait_{0};
  /// Latency objective of the route.
  Millis Objective_{0};
  /// How long the flow has waited.
  Millis Waited_{0};
};

/// The packet is sent to an upstream.
struct Deliver {
  /// Not null; valid until the catalog changes.
  const discovery::CatalogEntry *Upstream_ = nullptr;
  DeliverReason Reason_ = DeliverReason::Established;
  /// Number of upstreams that could have been chosen.
  std::uint32_t Candidates_ = 0;
  /// Active flows of the upstream before this one, as tracked by this instance.
  std::uint32_t Active_ = 0;
  /// The upstream is cold and its new flows are limited.
  bool WarmUp_ = false;
  /// Placed: set if the SYN has waited for a free slot.
  std::optional<QueueState> Queue_{};
  /// Opened: time since the first SYN. Ended: time since the flow was opened.
  Nanos Elapsed_{0};
  /// Moved: the upstream that did not answer.
  affinity::Tag Previous_;
  /// Moved: how long Previous_ is ejected from now on; 0 when it is not ejected
  /// or was ejected before.
  Millis EjectedFor_{0};
  /// Opened: the upstream had been ejected and takes new flows again.
  bool Restored_ = false;
  /// Set when the packet shows that a request of its flow failed.
  std::optional<FailedRequest> Failed_;
};

/// The packet is answered with a reset.
struct Reject {
  RejectReason Reason_ = RejectReason::NoRoute;
  /// Overloaded: what the refusal is based on.
  std::optional<QueueState> Queue_{};
};

/// The packet is dropped without an answer.
struct Drop {
  DropReason Reason_ = DropReason::Outdated;
};

/// The packet is to be handled again once the routes and the upstreams have
/// been loaded, or read again after a pause.
struct Hold {};

/// The SYN waits until an upstream of its service has a free slot.
struct Enqueue {
  QueueState Queue_;
};

using Decision = std::variant<Deliver, Reject, Drop, Hold, Enqueue>;

} // namespace medlarmoor::edge

#endif // MEDLARMOOR_EDGE_DECISION_HPP
