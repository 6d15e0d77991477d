#ifndef MEDLARMOOR_FLOW_CHOOSER_HPP
#define MEDLARMOOR_FLOW_CHOOSER_HPP

#include <medlarmoor/core/time.hpp>
#include <medlarmoor/flow/decision.hpp>
#include <medlarmoor/flow/rule.hpp>
#include <medlarmoor/flow/service_state.hpp>

#include <cstddef>
#include <variant>

namespace medlarmoor::flow {

/// This entry's position among the homes that share the connections of a
/// service's upstreams.
struct HomeShare {
  /// Number of homes that admit flows, at least 1.
  std::size_t HomeCount_ = 1;
  /// This entry's rank among them, below HomeCount_.
  std::size_t Rank_ = 0;
  /// Number of the current turn by wall clock, which decides whose turn it is
  /// when few connections are left. Empty between two turns, so that the
  /// counts of one turn arrive before the next.
  std::optional<std::uint64_t> Turn_;
  TimePoint Now_;

  /// Returns true if so few connections are left that the homes take turns.
  [[nodiscard]] bool scarce(std::uint32_t Room) const noexcept {
    return HomeCount_ > 1 && Room < 2 * HomeCount_;
  }
};

/// An upstream for a new flow and the rule that chose it.
struct Choice {
  UpstreamIndex Upstream_ = 0;
  Rule Rule_ = Rule::Default;
};

/// Returns true if this home may open one more flow to the upstream. The homes
/// announce their counts to each other from time to time. Between two
/// announcements each may use its share of half of the connections left, so
/// that all together stay below the upstream's limit. They take turns for the
/// last few connections.
[[nodiscard]] bool hasRoom(const UpstreamState &Candidate,
                           const HomeShare &Share) noexcept;

/// Chooses the upstream of a new flow: the consistent table's, unless that one
/// is full, not ready or above its bound of flows.
[[nodiscard]] std::variant<Choice, RefuseReason>
choose(ServiceState &Service, std::uint64_t FlowHash, const HomeShare &Share);

} // namespace medlarmoor::flow

#endif // MEDLARMOOR_FLOW_CHOOSER_HPP
