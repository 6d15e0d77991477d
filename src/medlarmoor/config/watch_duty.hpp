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
  /// is laid down ends by itself.
  void set(bool OnDuty);
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

  /// On duty, and no call has been answered for a while.
  [[nodiscard]] bool lost() const;

private:
  void failed();
  void answered();

  Clock Clock_;
  Random Random_;
  bool OnDuty_ = false;
  bool Listing_ = false;
  bool Watching_ = false;
  bool Reading_ = false;
  std::optional<std::uint64_t> Revision_;
  std::uint32_t Failures_ = 0;
  std::optional<TimePoint> FailingSince_;
  TimePoint RetryAt_;
  TimePoint NextRead_;
};

} // namespace medlarmoor::config

#endif // MEDLARMOOR_CONFIG_WATCH_DUTY_HPP
