#ifndef MEDLARMOOR_HARNESS_FLOW_LOAD_HPP
#define MEDLARMOOR_HARNESS_FLOW_LOAD_HPP

#include <medlarmoor/core/endpoint.hpp>
#include <medlarmoor/core/time.hpp>

#include <cstdint>
#include <vector>

namespace medlarmoor::harness {

/// What a caller is asked to do with flows.
struct FlowLoad {
  /// Service addresses; each flow takes one by seed.
  std::vector<Endpoint> Services_;
  /// Flows opened a second.
  double Rate_ = 0;
  /// Exchanges of a flow before it closes.
  std::uint32_t Exchanges_ = 4;
  /// Time between two exchanges of a flow.
  Millis Gap_{100};
  /// Flows that are kept open beside these until the load is stopped.
  std::uint32_t Long_ = 0;
};

} // namespace medlarmoor::harness

#endif // MEDLARMOOR_HARNESS_FLOW_LOAD_HPP
