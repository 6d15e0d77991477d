#ifndef MEDLARMOOR_FLOW_CHOOSER_HPP
#define MEDLARMOOR_FLOW_CHOOSER_HPP

#include <medlarmoor/core/time.hpp>
#include <medlarmoor/flow/decision.hpp>
#include <medlarmoor/flow/rule.hpp>
#include <medlarmoor/flow/service_state.hpp>

#include <cstddef>
#include <variant>

namespace medlarmoor::flow {

/// The entry's place among the homes that share the connections of a service.
struct HomeShare {
  /// Homes that admit flows, at least 1.
  std::size_t HomeCount_ = 1;
  /// This entry's place among them, below HomeCount_.
  std::size_t Rank_ = 0;
  /// Whose turn it is when few connections are left, by wall clock. Nothing
  /// between two turns, so that the counts arrive before the next.
  std::optional<std::uint64_t> Turn_;
  TimePoint Now_;

  /// True when so few connections are left that the homes take turns.
  [[nodiscard]] bool scarce(std::uint32_t Room) const noexcept {
    return HomeCount_ > 1 && Room < 2 * HomeCount_;
  }
};

/// An upstream for a new flow and the rule that chose it.
struct Choice {
  UpstreamIndex Upstream_ = 0;
  Rule Rule_ = Rule::Default;
};

/// True when this home may open one more flow to the upstream. The homes tell
/// each other their counts now and then; between two tellings each may use its
/// part of half of the connections left, so that all together stay below the
/// upstream's limit. They take turns for the last few.
[[nodiscard]] bool hasRoom(const UpstreamState &Each,
                           const HomeShare &Share) noexcept;

/// Chooses the upstream of a new flow: the table's, unless that is full, not
/// ready or above its bound of flows.
[[nodiscard]] std::variant<Choice, RefuseReason>
choose(ServiceState &Service, std::uint64_t FlowHash, const HomeShare &Share);

} // namespace medlarmoor::flow

#endif // MEDLARMOOR_FLOW_CHOOSER_HPP
