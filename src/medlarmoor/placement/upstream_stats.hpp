#ifndef MEDLARMOOR_PLACEMENT_UPSTREAM_STATS_HPP
#define MEDLARMOOR_PLACEMENT_UPSTREAM_STATS_HPP

#include <medlarmoor/discovery/fwd.hpp>
#include <medlarmoor/placement/ejector.hpp>
#include <medlarmoor/placement/failure_rates.hpp>
#include <medlarmoor/placement/flow_tracker.hpp>
#include <medlarmoor/placement/load_averages.hpp>
#include <medlarmoor/placement/load_reports.hpp>
#include <medlarmoor/placement/owner_map.hpp>
#include <medlarmoor/placement/service_times.hpp>
#include <medlarmoor/placement/silence_detector.hpp>
#include <medlarmoor/placement/warm_up_limiter.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

namespace medlarmoor::placement {

/// Measurements of this instance, and reports of its peers, about the
/// upstreams.
struct UpstreamStats {
  /// Self is this instance; it is needed only if owners are computed.
  /// Without WarmUp, cold upstreams are not limited; Seeds is the number of
  /// other instances that the settings name.
  explicit UpstreamStats(EjectionLimits Limits, FleetMember Self = {},
                         std::optional<WarmUpBounds> WarmUp = std::nullopt,
                         std::size_t Seeds = 0)
      : Ejector_(Limits), Owners_(Self),
        WarmUp_(std::move(Self), WarmUp, Seeds) {}

  /// Returns the estimated number of requests and handshakes in progress at an
  /// upstream.
  [[nodiscard]] double load(affinity::Tag Upstream,
                            TimePoint Now) const noexcept {
    return static_cast<double>(Flows_.active(Upstream)) +
           LoadReports_.load(Upstream, Now);
  }

  /// Returns the number of slots at those candidates that this instance owns,
  /// or at all of them if it owns none.
  [[nodiscard]] std::uint32_t
  ownedSlots(const std::vector<const discovery::CatalogEntry *> &Candidates)
      const noexcept;

  FlowTracker Flows_;
  ServiceTimes ServiceTimes_;
  FailureRates FailureRates_;
  Ejector Ejector_;
  SilenceDetector Silence_;
  OwnerMap Owners_;
  LoadAverages LoadAverages_;
  LoadReports LoadReports_;
  WarmUpLimiter WarmUp_;
};

} // namespace medlarmoor::placement

#endif // MEDLARMOOR_PLACEMENT_UPSTREAM_STATS_HPP
