#ifndef MEDLARMOOR_CONFIG_WATCH_SCHEDULER_HPP
#define MEDLARMOOR_CONFIG_WATCH_SCHEDULER_HPP

#include <medlarmoor/config/follower_action.hpp>
#include <medlarmoor/core/clock.hpp>
#include <medlarmoor/core/random.hpp>
#include <medlarmoor/core/store_revision.hpp>

#include <cstdint>
#include <optional>

namespace medlarmoor::config {

/// Schedules the platform calls of an entry that watches the platform for its
/// failure domain. One watch is open at a time; after a failure it is restarted
/// with exponential backoff. The manifest is also read periodically, because a
/// watch can go silent without an error. Calls no platform itself.
class WatchScheduler {
public:
  WatchScheduler(Clock Time, Random Source);

  /// Starts or stops scheduling calls. A watch that is still open when
  /// scheduling stops is not cancelled and ends by itself. The second watcher
  /// of a domain reads halfway between the reads of the first.
  void setDuty(bool OnDuty, bool IsSecondWatcher);
  /// Makes a read due now, for use after the process was suspended or when the
  /// manifest may have changed.
  void requestRead();
  /// Records the end of the list call with its revision, or nullopt if the call
  /// failed.
  void onListEnd(std::optional<StoreRevision> Revision);
  /// Records the end of the watch call with the revision that it reached, or
  /// nullopt if the call failed. If the platform has begun another epoch, a new
  /// list call becomes due.
  void onWatchEnd(std::optional<StoreRevision> Revision);
  /// Records that the platform no longer keeps the revision of the watch. A new
  /// list call becomes due.
  void onWatchExpired();
  /// Records the end of the read call.
  void onReadEnd(bool Answered);
  /// Returns the calls to start now and marks them as in flight.
  [[nodiscard]] FollowerActions dueCalls();

  /// Returns true if calls are scheduled and have failed repeatedly or have
  /// stayed unanswered for too long.
  [[nodiscard]] bool hasLostPlatform() const;

private:
  void scheduleRead();
  void recordFailure();
  void recordSuccess();

  Clock Clock_;
  Random Random_;
  bool OnDuty_ = false;
  bool IsSecondWatcher_ = false;
  bool ListInFlight_ = false;
  bool WatchInFlight_ = false;
  bool ReadInFlight_ = false;
  std::optional<StoreRevision> Revision_;
  std::uint32_t Failures_ = 0;
  std::optional<TimePoint> FailingSince_;
  /// Start of the list or read call that is in flight.
  std::optional<TimePoint> UnansweredSince_;
  TimePoint RetryAt_;
  TimePoint NextReadAt_;
};

} // namespace medlarmoor::config

#endif // MEDLARMOOR_CONFIG_WATCH_SCHEDULER_HPP
