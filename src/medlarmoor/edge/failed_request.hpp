#ifndef MEDLARMOOR_EDGE_FAILED_REQUEST_HPP
#define MEDLARMOOR_EDGE_FAILED_REQUEST_HPP

#include <medlarmoor/affinity/flow_key.hpp>
#include <medlarmoor/affinity/tag.hpp>
#include <medlarmoor/core/time.hpp>
#include <medlarmoor/placement/outcome.hpp>

#include <cstdint>

namespace medlarmoor::edge {

/// A request that failed, as far as the client's packets tell.
struct FailedRequest {
  affinity::FlowKey Flow_;
  affinity::Tag Upstream_;
  placement::Outcome Outcome_ = placement::Outcome::Unanswered;
  /// Bytes of the answer that the client acknowledged.
  std::uint32_t Received_ = 0;
  /// Since the client sent the request.
  Nanos Elapsed_{0};
  /// What is held against the upstream now; see FailureRates::excess().
  double Excess_ = 0;
};

} // namespace medlarmoor::edge

#endif // MEDLARMOOR_EDGE_FAILED_REQUEST_HPP
