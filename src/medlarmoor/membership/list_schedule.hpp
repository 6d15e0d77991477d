#ifndef MEDLARMOOR_MEMBERSHIP_LIST_SCHEDULE_HPP
#define MEDLARMOOR_MEMBERSHIP_LIST_SCHEDULE_HPP

#include <medlarmoor/core/random.hpp>
#include <medlarmoor/core/time.hpp>

#include <cstddef>
#include <optional>

namespace medlarmoor::membership {

/// Decides when an entry reads the platform's list of instances. After the
/// start it retries until the first success. From then on it reads often if it
/// is one of the list watchers of its failure domain and rarely otherwise. All
/// delays are jittered. A long list is read less often to bound the bytes per
/// second.
class ListSchedule {
public:
  /// Period is the mean time between two reads of a watcher.
  explicit ListSchedule(Millis Period) : Period_(Period) {}

  /// Returns true if the list has to be read now, and counts the read as in
  /// flight. Returns false while a read is in flight.
  [[nodiscard]] bool due(TimePoint Now, bool Watcher, Random &Source);
  /// Records the end of the read that due() began: the number of Instances on
  /// the list, or nothing if the read failed.
  void finished(TimePoint Now, std::optional<std::size_t> Instances,
                Random &Source);

private:
  [[nodiscard]] Millis period(bool Watcher) const noexcept;

  Millis Period_;
  std::size_t Instances_ = 0;
  TimePoint NextRead_;
  Millis RetryDelay_{0};
  bool ReadInFlight_ = false;
  bool Succeeded_ = false;
};

} // namespace medlarmoor::membership

#endif // MEDLARMOOR_MEMBERSHIP_LIST_SCHEDULE_HPP
