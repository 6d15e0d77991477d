#ifndef MEDLARMOOR_PLACEMENT_WARM_UP_BOUNDS_HPP
#define MEDLARMOOR_PLACEMENT_WARM_UP_BOUNDS_HPP

namespace medlarmoor::placement {

/// How far the new flows at a cold upstream may exceed the rate of its service.
struct WarmUpBounds {
  /// Factor of the rate.
  double Overage_ = 1;
  /// New flows per second beyond that.
  double Slack_ = 0;
};

} // namespace medlarmoor::placement

#endif // MEDLARMOOR_PLACEMENT_WARM_UP_BOUNDS_HPP
