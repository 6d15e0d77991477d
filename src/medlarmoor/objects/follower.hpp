#ifndef MEDLARMOOR_OBJECTS_FOLLOWER_HPP
#define MEDLARMOOR_OBJECTS_FOLLOWER_HPP

#include <medlarmoor/core/random.hpp>
#include <medlarmoor/objects/follower_step.hpp>
#include <medlarmoor/objects/follower_timing.hpp>

#include <optional>
#include <string>

namespace medlarmoor::objects {

/// Decides which call keeps a collection current: a whole list first, spaced
/// watches after it, a list again when the store has dropped its history. One
/// call is under way at a time.
class Follower {
public:
  Follower(FollowerTiming Timing, Random Source);

  /// The next call to make, or how long to wait before asking again.
  [[nodiscard]] FollowerStep next(TimePoint Now) const;

  /// A list call that was sent at Sent gave a page; LastName is where the next
  /// page begins when More. Tells whether the list is whole.
  bool pageRead(bool More, const std::string &LastName, std::uint64_t Revision,
                TimePoint Sent, TimePoint Now);
  /// A watch gave its answer. Tells whether its changes are still news: what a
  /// peer passed on meanwhile may be newer.
  [[nodiscard]] bool changesRead(bool Any, std::uint64_t Revision,
                                 TimePoint Now);
  /// A peer gave the whole collection as it was at revision Upto, of which
  /// Changed was the last that changed it.
  void adopt(std::uint64_t Upto, std::uint64_t Changed, TimePoint AsOf);
  /// A peer that reads the store has found, at AsOf, no change since what is
  /// known here. No call is made before Until.
  void defer(std::uint64_t Upto, TimePoint AsOf, TimePoint Until);
  /// The store has dropped the history after the last revision.
  void historyLost(TimePoint Now);
  /// A call gave no usable answer.
  void failed(TimePoint Now);

  /// Peers cannot replace reading for now.
  void stopDeferring() noexcept { DeferUntil_ = {}; }

  /// The moment at which the collection was last known to be current; nothing
  /// before the first whole list.
  [[nodiscard]] std::optional<TimePoint> currentAsOf() const noexcept {
    return CurrentAsOf_;
  }
  /// When calls began to fail; nothing while they succeed.
  [[nodiscard]] std::optional<TimePoint> failingSince() const noexcept {
    return FailingSince_;
  }
  /// True when calls have failed for long enough to call it an outage.
  [[nodiscard]] bool storeAway(TimePoint Now) const noexcept;
  /// True when the store answers: a list or watch succeeded and no call failed
  /// since.
  [[nodiscard]] bool answered() const noexcept {
    return Answered_ && !FailingSince_;
  }
  /// All changes up to this revision are known.
  [[nodiscard]] std::uint64_t revision() const noexcept { return Revision_; }
  /// The last revision that changed the collection, as far as is known.
  [[nodiscard]] std::uint64_t changed() const noexcept { return Changed_; }
  /// True while a peer's reading replaces calls.
  [[nodiscard]] bool deferring(TimePoint Now) const noexcept {
    return Now < DeferUntil_;
  }

private:
  void succeeded() noexcept;

  FollowerTiming Timing_;
  Random Source_;
  /// Where the list under way goes on; nothing while watching.
  std::optional<std::string> ListAfter_ = std::string();
  /// Revision of the first page of the list under way.
  std::optional<std::uint64_t> ListRevision_;
  TimePoint ListSent_{};
  std::uint64_t Revision_ = 0;
  std::uint64_t Changed_ = 0;
  TimePoint NotBefore_{};
  TimePoint DeferUntil_{};
  bool Answered_ = false;
  unsigned Failures_ = 0;
  std::optional<TimePoint> FailingSince_;
  std::optional<TimePoint> CurrentAsOf_;
};

} // namespace medlarmoor::objects

#endif // MEDLARMOOR_OBJECTS_FOLLOWER_HPP
