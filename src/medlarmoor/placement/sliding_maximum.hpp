#ifndef MEDLARMOOR_PLACEMENT_SLIDING_MAXIMUM_HPP
#define MEDLARMOOR_PLACEMENT_SLIDING_MAXIMUM_HPP

#include <medlarmoor/core/time.hpp>

#include <deque>
#include <utility>

namespace medlarmoor::placement {

/// The largest of the values that were recorded within a period of time.
class SlidingMaximum {
public:
  explicit SlidingMaximum(Millis Window) : Window_(Window) {}

  /// Records a value and returns the maximum, which includes it.
  double record(double Value, TimePoint Now) {
    while (!Values_.empty() && Values_.back().second <= Value)
      Values_.pop_back();
    Values_.emplace_back(Now, Value);
    while (Now - Values_.front().first > Window_)
      Values_.pop_front();
    return Values_.front().second;
  }

private:
  Millis Window_;
  /// Values that no later one reaches, each with the last time of its record.
  std::deque<std::pair<TimePoint, double>> Values_;
};

} // namespace medlarmoor::placement

#endif // MEDLARMOOR_PLACEMENT_SLIDING_MAXIMUM_HPP
