#ifndef MEDLARMOOR_EDGE_FAILED_REQUEST_HPP
#define MEDLARMOOR_EDGE_FAILED_REQUEST_HPP

#include <medlarmoor/affinity/flow_key.hpp>
#include <medlarmoor/affinity/tag.hpp>
#include <medlarmoor/core/time.hpp>
#include <medlarmoor/placement/outcome.hpp>

#include <cstdint>

namespace medlarmoor::edge {

/// A request that failed or is overdue, as inferred from the client's packets.
struct FailedRequest {
  affinity::FlowKey Flow_;
  affinity::Tag Upstream_;
  placement::Outcome Outcome_ = placement::Outcome::Unanswered;
  /// Bytes of the answer that the client acknowledged.
  std::uint32_t ReceivedBytes_ = 0;
  /// Time since the client sent the request.
  Nanos Elapsed_{0};
  /// Excess failure rate of the upstream, 0 to 1; see FailureRates::excess().
  double ExcessFailureRate_ = 0;
};

} // namespace medlarmoor::edge

#endif // MEDLARMOOR_EDGE_FAILED_REQUEST_HPP
