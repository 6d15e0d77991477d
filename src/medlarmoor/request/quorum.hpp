#ifndef MEDLARMOOR_REQUEST_QUORUM_HPP
#define MEDLARMOOR_REQUEST_QUORUM_HPP

#include <medlarmoor/core/clock.hpp>
#include <medlarmoor/membership/view.hpp>

#include <cstddef>
#include <map>
#include <span>
#include <vector>

namespace medlarmoor::request {

/// Decides how many members must hold a copy before a request may go out, so
/// that any two dispatchers that disagree about the view share at least one
/// holder. The electorate is every member seen of late: one that vanished
/// stays in it until a majority has done without it for the settling time, or
/// until the platform's list no longer names it.
class Quorum {
public:
  Quorum(EntryName Self, Millis Settle, Clock Time);

  /// Takes a new view. Members that leave as planned drop out at once.
  void onView(membership::ViewPtr Now);
  /// Takes the platform's list: whoever is on it counts, and whoever is neither
  /// on it nor in the view is gone for good.
  void onListed(std::span<const EntryName> Names);
  /// Whether the platform's list would help: it was never read, or the view
  /// holds no majority.
  [[nodiscard]] bool wantsList() const { return !Introduced_ || !holds(); }
  /// Does without the list, since none can be had: the view alone counts.
  void introduce();
  /// Lets members drop out whose settling time has passed.
  void tick();

  /// Whether the view holds this entry and a majority of the electorate.
  [[nodiscard]] bool holds() const;
  /// The wall time at which holds() last became true.
  [[nodiscard]] WallTime since() const noexcept { return Since_; }
  /// Copies needed besides the own record.
  [[nodiscard]] std::size_t copiesNeeded() const noexcept {
    return Electorate_.size() / 2;
  }
  /// The other live members, the next in line for Key first.
  [[nodiscard]] std::vector<membership::Member>
  holders(std::uint64_t Key) const;
  /// Whether Name is a member of the view, leaving or not.
  [[nodiscard]] bool isMember(const EntryName &Name) const;

private:
  void noteHeld(bool Before);

  EntryName Self_;
  /// A new entry that sees few others cannot tell whether there are more, so
  /// it holds no majority before it has seen a list.
  bool Introduced_ = false;
  Millis Settle_;
  Clock Time_;
  membership::ViewPtr View_;
  /// Each member with the time at which it was last in the view.
  std::map<EntryName, TimePoint> Electorate_;
  WallTime Since_;
};

} // namespace medlarmoor::request

#endif // MEDLARMOOR_REQUEST_QUORUM_HPP
