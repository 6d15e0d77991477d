#ifndef MEDLARMOOR_MEMBERSHIP_LIST_SCHEDULE_HPP
#define MEDLARMOOR_MEMBERSHIP_LIST_SCHEDULE_HPP

#include <medlarmoor/core/random.hpp>
#include <medlarmoor/core/time.hpp>

#include <cstddef>
#include <optional>

namespace medlarmoor::membership {

/// Decides when an entry reads the platform's list of instances: at start
/// until it succeeded once, then often if it is one of the watchers of its
/// failure domain and seldom otherwise, always with jitter. A long list is
/// read less often, so that its bytes a second stay bounded.
class ListSchedule {
public:
  /// Period is that of a watcher.
  explicit ListSchedule(Millis Period) : Period_(Period) {}

  /// Whether to read now. A read that is not finished is not due again.
  [[nodiscard]] bool due(TimePoint Now, bool Watcher, Random &Source);
  /// The read that due() began has ended with that many instances, or failed.
  void finished(TimePoint Now, std::optional<std::size_t> Instances,
                Random &Source);

private:
  [[nodiscard]] Millis period(bool Watcher) const noexcept;

  Millis Period_;
  std::size_t Instances_ = 0;
  TimePoint Next_;
  Millis Retry_{0};
  bool Reading_ = false;
  bool Succeeded_ = false;
};

} // namespace medlarmoor::membership

#endif // MEDLARMOOR_MEMBERSHIP_LIST_SCHEDULE_HPP
