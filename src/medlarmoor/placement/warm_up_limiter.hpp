#ifndef MEDLARMOOR_PLACEMENT_WARM_UP_LIMITER_HPP
#define MEDLARMOOR_PLACEMENT_WARM_UP_LIMITER_HPP

#include <medlarmoor/affinity/tag.hpp>
#include <medlarmoor/core/ids.hpp>
#include <medlarmoor/core/time.hpp>
#include <medlarmoor/discovery/fwd.hpp>
#include <medlarmoor/placement/fleet_member.hpp>
#include <medlarmoor/placement/owner_map.hpp>
#include <medlarmoor/placement/sliding_maximum.hpp>
#include <medlarmoor/placement/warm_up_bounds.hpp>

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

namespace medlarmoor::placement {

/// Limits the rate of new flows that all instances together send to a cold
/// upstream. Only one instance sends them, at less than half of the limit, so
/// that two instances that both regard themselves as that one stay within it.
/// Does not read clocks: a pause of this process shows as a jump of the time.
class WarmUpLimiter {
public:
  /// New flows per second that a cold upstream of a service can handle.
  using Rates = std::unordered_map<ServiceName, double>;

  /// Without Bounds, nothing is limited. Seeds is the number of other instances
  /// that the settings name: if there are any, an instance that knows no other
  /// one is probably cut off and sends nothing to cold upstreams.
  WarmUpLimiter(FleetMember Self, std::optional<WarmUpBounds> Bounds,
                std::size_t Seeds);

  /// Replaces the rates. A service without one is not limited.
  void setRates(Rates PerSecond);
  /// Records the upstreams of the catalog and the other known instances. To be
  /// called several times a second, also if nothing has changed: without a call
  /// for a second, this instance sends nothing to cold upstreams. Upstreams may
  /// be limited to the cold ones.
  void update(const std::vector<OwnerMap::Location> &Upstreams,
              const std::vector<FleetMember> &Others, TimePoint Now);
  /// Returns true if this instance may not send a SYN to the upstream now.
  /// Always false for an upstream that is warm or whose service has no rate.
  [[nodiscard]] bool limited(const discovery::CatalogEntry &Upstream,
                             TimePoint Now) const;
  /// Records a SYN sent to the upstream, including repeated ones. Has no effect
  /// if limited() is false whatever has been sent.
  void spend(const discovery::CatalogEntry &Upstream, TimePoint Now);
  /// Returns true if the upstream is cold and its service has a rate.
  [[nodiscard]] bool applies(const discovery::CatalogEntry &Upstream,
                             TimePoint Now) const;

private:
  struct Known {
    DomainName Domain_;
    TimePoint LastKnownAt_{};
  };
  /// The share of the budget that the instances known here may use. Of groups
  /// of instances that have lost touch with each other, each gets the share
  /// that it has of the former number.
  class GroupShare {
  public:
    GroupShare();

    /// Records the number of known instances, this one included.
    void record(std::size_t Count, TimePoint Now);
    [[nodiscard]] double value() const noexcept { return Value_; }

  private:
    SlidingMaximum Peak_;
    SlidingMaximum RecentPeak_;
    SlidingMaximum Loss_;
    double Value_ = 0;
  };

  /// Returns the share of the budget of the upstream that this instance may
  /// use, from 0 to 1.
  [[nodiscard]] double share(const discovery::CatalogEntry &Upstream,
                             TimePoint Now) const;
  /// Recomputes the owners if the upstreams or the members have changed.
  void updateOwners(const std::vector<OwnerMap::Location> &Upstreams);

  /// Returns the rate of a service; 0 if it has none.
  [[nodiscard]] double rate(const ServiceName &Service) const;

  FleetMember Self_;
  std::optional<WarmUpBounds> Bounds_;
  std::size_t Seeds_;
  Rates Rates_;
  /// The last service whose rate was looked up, and its rate: all candidates of
  /// a selection have one service, and hashing its name for each takes longer
  /// than the rest of the decision.
  mutable std::pair<ServiceName, double> LastRate_;
  std::optional<TimePoint> LastUpdate_;
  /// Until then the view of the members may be incomplete, because this
  /// instance was started or resumed shortly before.
  TimePoint SettledAt_{};
  /// Instances that are known, or were until recently.
  std::map<Endpoint, Known> Members_;
  /// When each other failure domain last had a known instance.
  std::unordered_map<DomainName, TimePoint> DomainSeenAt_;
  GroupShare LocalShare_;
  GroupShare FleetShare_;
  std::vector<OwnerMap::Location> OwnedFrom_;
  std::vector<FleetMember> OwnedAmong_;
  OwnerMap Owners_;
  /// Times of the SYNs sent to each upstream within the last window.
  std::unordered_map<affinity::Tag, std::deque<TimePoint>> Sent_;
};

} // namespace medlarmoor::placement

#endif // MEDLARMOOR_PLACEMENT_WARM_UP_LIMITER_HPP
