#ifndef MEDLARMOOR_FLOW_RULE_HPP
#define MEDLARMOOR_FLOW_RULE_HPP

#include <cstddef>

namespace medlarmoor::flow {

/// The rule that chose the upstream of a flow.
enum class Rule : unsigned char {
  /// The consistent table's upstream, called the default below.
  Default,
  /// The default was above its bound of flows.
  Overloaded,
  /// The default had no connection left.
  DefaultFull,
  /// The default was warming, draining, silent or gone.
  DefaultNotReady,
  /// The flow was established but had no record: the upstream comes from the
  /// oldest retained table.
  EstablishedDefault,
  /// Another home chose the upstream and replicated the record to this entry.
  Replicated,
};

/// Returns the rule's name as shown in explanations.
[[nodiscard]] constexpr const char *name(Rule Which) noexcept {
  constexpr const char *Names[] = {
      "default",           "overloaded",          "default_full",
      "default_not_ready", "established_default", "replicated"};
  return Names[static_cast<std::size_t>(Which)];
}

} // namespace medlarmoor::flow

#endif // MEDLARMOOR_FLOW_RULE_HPP
