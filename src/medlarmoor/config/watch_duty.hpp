#ifndef MEDLARMOOR_CONFIG_WATCH_DUTY_HPP
#define MEDLARMOOR_CONFIG_WATCH_DUTY_HPP

#include <medlarmoor/config/follower_action.hpp>
#include <medlarmoor/core/clock.hpp>
#include <medlarmoor/core/random.hpp>

#include <cstdint>
#include <optional>

namespace medlarmoor::config {

/// Decides when a watcher calls the platform: one watch at a time, begun anew
/// after a failure with growing delays, and besides a read in a fixed period,
/// because a watch can go silent without an error.
class WatchDuty {
public:
  WatchDuty(Clock Time, Random Source);

  /// Takes up or lays down the duty. A watch that is still open when the duty
  /// is laid down ends by itself. The second watcher of a domain reads halfway
  /// between the reads of the first.
  void set(bool OnDuty, bool IsSecond);
  /// The process stood still or the platform may have changed: read now.
  void readSoon();
  /// The list came with its revision; nothing when it failed.
  void onListed(std::optional<std::uint64_t> Revision);
  /// The watch ended with a revision; nothing when it failed.
  void onWatched(std::optional<std::uint64_t> Revision);
  /// The platform no longer keeps the revision of the watch.
  void onTooOld();
  /// The read ended.
  void onRead(bool Answered);
  /// The calls to begin now.
  [[nodiscard]] FollowerActions tick();

  /// On duty, and calls have failed or gone unanswered for a while.
  [[nodiscard]] bool lost() const;

private:
  void scheduleRead();
  void failed();
  void answered();

  Clock Clock_;
  Random Random_;
  bool OnDuty_ = false;
  bool IsSecond_ = false;
  bool Listing_ = false;
  bool Watching_ = false;
  bool Reading_ = false;
  std::optional<std::uint64_t> Revision_;
  std::uint32_t Failures_ = 0;
  std::optional<TimePoint> FailingSince_;
  /// When the list or read began that has not ended.
  std::optional<TimePoint> Waiting_;
  TimePoint RetryAt_;
  TimePoint NextRead_;
};

} // namespace medlarmoor::config

#endif // MEDLARMOOR_CONFIG_WATCH_DUTY_HPP
