#ifndef MEDLARMOOR_REQUEST_QUORUM_HPP
#define MEDLARMOOR_REQUEST_QUORUM_HPP

#include <medlarmoor/core/clock.hpp>
#include <medlarmoor/membership/view.hpp>

#include <cstddef>
#include <map>
#include <span>
#include <vector>

namespace medlarmoor::request {

/// Determines how many members must store a replica before a request may be
/// sent, so that any two dispatchers with different views share at least one
/// member that stores it. The electorate is all recently seen members: a member
/// that disappears remains in it until a majority has been present without it
/// for the settling time, or until the platform's list no longer names it.
class Quorum {
public:
  Quorum(EntryName Self, Millis SettlingTime, Clock Time);

  /// Applies a new view. Members that leave as planned are removed from the
  /// electorate immediately.
  void onView(membership::ViewPtr View);
  /// Applies the platform's list. Listed entries belong to the electorate;
  /// entries that are neither listed nor in the view are removed from it.
  void onPlatformList(std::span<const EntryName> Names);
  /// Returns true if the platform's list should be read: it was never read, or
  /// the view has no majority.
  [[nodiscard]] bool needsPlatformList() const {
    return !ListKnown_ || !hasMajority();
  }
  /// Proceeds with the view alone, for use if no list can be obtained.
  void proceedWithoutList();
  /// Removes members whose settling time has passed from the electorate.
  void tick();

  /// Returns true if the view contains this entry and a majority of the
  /// electorate, all live.
  [[nodiscard]] bool hasMajority() const;
  /// Returns the wall time at which hasMajority() last became true.
  [[nodiscard]] WallTime majoritySince() const noexcept {
    return MajoritySince_;
  }
  /// Returns the number of replicas needed in addition to the local record.
  [[nodiscard]] std::size_t replicasNeeded() const noexcept {
    return Electorate_.size() / 2;
  }
  /// Returns the other live members, in the order in which they succeed the
  /// home of Key.
  [[nodiscard]] std::vector<membership::Member>
  replicaTargets(std::uint64_t Key) const;
  /// Returns true if Name is a member of the view, leaving or not.
  [[nodiscard]] bool isMember(const EntryName &Name) const;

private:
  void recordMajorityStart(bool HadMajority);

  EntryName Self_;
  /// True once a list was read or given up. A new entry that sees few others
  /// cannot know whether there are more, so it has no majority before that.
  bool ListKnown_ = false;
  Millis SettlingTime_;
  Clock Time_;
  membership::ViewPtr View_;
  /// Maps each member to the time at which it was last live in the view.
  std::map<EntryName, TimePoint> Electorate_;
  WallTime MajoritySince_;
};

} // namespace medlarmoor::request

#endif // MEDLARMOOR_REQUEST_QUORUM_HPP
