#ifndef MEDLARMOOR_OBJECTS_FOLLOWER_HPP
#define MEDLARMOOR_OBJECTS_FOLLOWER_HPP

#include <medlarmoor/core/random.hpp>
#include <medlarmoor/objects/follower_step.hpp>
#include <medlarmoor/objects/follower_timing.hpp>

#include <optional>
#include <string>

namespace medlarmoor::objects {

/// Decides which call keeps a collection current: first a complete list, then
/// watches at intervals, and a list again when the store has dropped its
/// history. At most one call is in flight.
class Follower {
public:
  Follower(FollowerTiming Timing, Random RandomSource);

  /// Returns the next call to make, or until when to wait before calling next()
  /// again.
  [[nodiscard]] FollowerStep next(TimePoint Now) const;

  /// Records a page that a list call sent at Sent returned. If More is true,
  /// the list continues after LastName. Returns true if this completes the
  /// list. A page of another epoch than the previous one, or of an epoch before
  /// that of the known data, makes the list start again.
  bool recordPage(bool More, const std::string &LastName,
                  StoreRevision Revision, TimePoint Sent, TimePoint Now);
  /// Records the answer to a watch of the changes after Since that was sent at
  /// Sent, up to Revision; HasChanges is true if it holds changes. The answer
  /// counts as old as the call, since it may have waited while this process was
  /// paused. Returns false if the answer must be ignored: it is outdated,
  /// because a peer has sent a newer revision meanwhile, or the store has begun
  /// another epoch since the watch was sent, in which the number of Since means
  /// something else.
  [[nodiscard]] bool recordChanges(StoreRevision Since, bool HasChanges,
                                   StoreRevision Revision, TimePoint Sent,
                                   TimePoint Now);
  /// Records that a peer sent the complete collection as of Revision, which was
  /// known to be current at AsOf. LastChange is the last revision that changed
  /// the collection.
  void adopt(StoreRevision Revision, StoreRevision LastChange, TimePoint AsOf);
  /// Records that a peer that reads the store found, at AsOf and up to
  /// Revision, no change after the revision known here. No call is made before
  /// Until.
  void defer(StoreRevision Revision, TimePoint AsOf, TimePoint Until);
  /// Records that the store does not have the history after Since, from which a
  /// watch started.
  void recordHistoryLoss(StoreRevision Since, TimePoint Now);
  /// Records that the store, which gave no usable answer, is in an epoch. If it
  /// is a new one, the collection is listed next.
  void recordEpoch(StoreEpoch Current) noexcept;
  /// Records that a call returned no usable answer.
  void recordFailure(TimePoint Now);

  /// Returns the time at which the collection was last known to be current; no
  /// value before the first complete list.
  [[nodiscard]] std::optional<TimePoint> currentAsOf() const noexcept {
    return CurrentAsOf_;
  }
  /// Returns the time at which calls began to fail; no value while they
  /// succeed.
  [[nodiscard]] std::optional<TimePoint> failingSince() const noexcept {
    return FailingSince_;
  }
  /// Returns true if calls have failed for so long that it counts as an outage
  /// of the store.
  [[nodiscard]] bool inOutage(TimePoint Now) const noexcept;
  /// Returns true if the store answers: a call was answered, and none has
  /// failed since.
  [[nodiscard]] bool storeAnswers() const noexcept {
    return Answered_ && !FailingSince_;
  }
  /// Returns true while a list is in progress of which a page was received.
  [[nodiscard]] bool listInProgress() const noexcept {
    return ListRevision_.has_value();
  }
  /// Returns the revision up to which all changes are known.
  [[nodiscard]] StoreRevision revision() const noexcept { return Revision_; }
  /// Returns the last revision that changed the collection, as far as known.
  [[nodiscard]] StoreRevision lastChange() const noexcept {
    return LastChange_;
  }
  /// Returns true while a peer's reading replaces calls.
  [[nodiscard]] bool deferring(TimePoint Now) const noexcept {
    return Now < DeferUntil_;
  }

private:
  void recordSuccess() noexcept;
  /// Lists the collection from its first object.
  void restartList() noexcept;

  FollowerTiming Timing_;
  Random Random_;
  /// Name after which the list in progress continues, empty at its start; no
  /// value while watching.
  std::optional<std::string> ListAfter_ = std::string();
  /// Revision of the first page of the list in progress.
  std::optional<StoreRevision> ListRevision_;
  TimePoint ListSent_{};
  StoreRevision Revision_;
  StoreRevision LastChange_;
  TimePoint NotBefore_{};
  TimePoint DeferUntil_{};
  bool Answered_ = false;
  unsigned Failures_ = 0;
  std::optional<TimePoint> FailingSince_;
  std::optional<TimePoint> CurrentAsOf_;
  /// Time of the last answer of the store, or as of when a peer's data was.
  TimePoint LearnedAt_{};
};

} // namespace medlarmoor::objects

#endif // MEDLARMOOR_OBJECTS_FOLLOWER_HPP
