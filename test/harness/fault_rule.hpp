#ifndef MEDLARMOOR_HARNESS_FAULT_RULE_HPP
#define MEDLARMOOR_HARNESS_FAULT_RULE_HPP

#include <medlarmoor/core/ipv4.hpp>
#include <medlarmoor/core/time.hpp>

#include <string>

namespace medlarmoor::harness {

/// What a rule of the fault proxy does to what it matches.
enum class FaultAction : unsigned char {
  /// Nothing passes either way.
  Cut,
  /// Nothing passes from source to destination.
  OneWay,
  /// Everything passes later.
  Delay,
  /// Datagrams are lost, each with the same probability.
  Loss,
};

/// Disturbs traffic between two addresses. An address 0.0.0.0 stands for any,
/// an empty port class too.
struct FaultRule {
  Ipv4 Source_;
  Ipv4 Destination_;
  /// For example "control" or "requests".
  std::string PortClass_;
  FaultAction Action_ = FaultAction::Cut;
  Millis Delay_{0};
  double Loss_ = 0;
};

} // namespace medlarmoor::harness

#endif // MEDLARMOOR_HARNESS_FAULT_RULE_HPP
