#ifndef MEDLARMOOR_HARNESS_FLOW_OUTCOMES_HPP
#define MEDLARMOOR_HARNESS_FLOW_OUTCOMES_HPP

#include <medlarmoor/core/time.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace medlarmoor::harness {

/// A flow that was established and did not last.
struct BrokenFlow {
  /// "SRC:PORT-DST:PORT".
  std::string Flow_;
  /// "reset", "stalled", "other upstream" or "wrong answer".
  std::string Reason_;
  std::string Upstream_;
  TimePoint At_;
};

/// What a caller counted of its flows.
struct FlowOutcomes {
  /// Flows whose first packet was sent.
  std::uint64_t Started_ = 0;
  /// Flows that an upstream accepted.
  std::uint64_t Opened_ = 0;
  /// Flows that were reset before they were established.
  std::uint64_t Refused_ = 0;
  /// Flows whose first packet was never answered.
  std::uint64_t Unopened_ = 0;
  std::uint64_t Finished_ = 0;
  /// Answers that were not whole or not those to the own packet.
  std::uint64_t WrongAnswers_ = 0;
  std::uint64_t Exchanges_ = 0;
  std::uint64_t Retransmits_ = 0;
  /// Second upstreams that accepted the first packet of a flow.
  std::uint64_t SecondOpens_ = 0;
  std::vector<BrokenFlow> Broken_;
};

} // namespace medlarmoor::harness

#endif // MEDLARMOOR_HARNESS_FLOW_OUTCOMES_HPP
