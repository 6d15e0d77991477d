#ifndef MEDLARMOOR_PLACEMENT_UPSTREAM_REPORTS_HPP
#define MEDLARMOOR_PLACEMENT_UPSTREAM_REPORTS_HPP

#include <medlarmoor/placement/suspect.hpp>

#include <vector>

namespace medlarmoor::placement {

/// What an instance reports to other instances about upstreams.
struct UpstreamReports {
  /// Upstreams at which requests have begun to fail.
  std::vector<Suspect> Suspects_;
  /// Upstreams that have left handshakes unanswered.
  std::vector<affinity::Tag> Unanswered_;

  [[nodiscard]] bool empty() const noexcept {
    return Suspects_.empty() && Unanswered_.empty();
  }

  friend bool operator==(const UpstreamReports &,
                         const UpstreamReports &) = default;
};

} // namespace medlarmoor::placement

#endif // MEDLARMOOR_PLACEMENT_UPSTREAM_REPORTS_HPP
