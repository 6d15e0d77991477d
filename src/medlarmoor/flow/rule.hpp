#ifndef MEDLARMOOR_FLOW_RULE_HPP
#define MEDLARMOOR_FLOW_RULE_HPP

#include <cstddef>

namespace medlarmoor::flow {

/// Which rule chose the upstream of a flow.
enum class Rule : unsigned char {
  /// The consistent table's upstream.
  Default,
  /// The default stood above its bound of flows.
  Overloaded,
  /// The default had no connection left.
  DefaultFull,
  /// The default was warming, draining, silent or gone.
  DefaultNotReady,
  /// An established flow without a record: the oldest table still kept.
  EstablishedDefault,
  /// Another home had chosen it and told this entry.
  Replicated,
};

/// The rule's name in explanations.
[[nodiscard]] constexpr const char *name(Rule Which) noexcept {
  constexpr const char *Names[] = {
      "default",           "overloaded",          "default_full",
      "default_not_ready", "established_default", "replicated"};
  return Names[static_cast<std::size_t>(Which)];
}

} // namespace medlarmoor::flow

#endif // MEDLARMOOR_FLOW_RULE_HPP
