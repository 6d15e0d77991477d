#ifndef MEDLARMOOR_HARNESS_FLEET_MEMBERSHIP_HPP
#define MEDLARMOOR_HARNESS_FLEET_MEMBERSHIP_HPP

#include <harness/flow_fleet.hpp>

#include <map>
#include <set>
#include <vector>

namespace medlarmoor::harness {

/// What the control threads and the fabric of a fleet come to know, each with
/// its own lag: who has joined, leaves, has died or was paused.
class FleetMembership {
public:
  explicit FleetMembership(FlowFleet &Fleet) : Fleet_(Fleet) {}

  /// From now on the entry learns of changes this much later than they happen.
  void lag(std::size_t Entry, Nanos Span) { Lags_[Entry] = Span; }

  /// A new entry starts and sees itself and the others at once; its index.
  std::size_t join();
  /// A planned leave: hand-over, then announced, then stopped.
  void leave(std::size_t Entry);
  /// The entry dies; the others miss its heartbeats after the lease.
  void die(std::size_t Entry);
  /// The entry stands still for Span. The others miss it after the lease and
  /// see it again soon after it wakes.
  void pause(std::size_t Entry, Nanos Span);
  /// All entries see the members of now at once.
  void settle();

  /// Whom the fabric sprays over.
  [[nodiscard]] std::vector<std::size_t> sprayed() const;
  /// Entries that are neither leaving nor gone.
  [[nodiscard]] std::vector<std::size_t> live() const {
    return {Live_.begin(), Live_.end()};
  }

private:
  void publish();
  void publishTo(std::size_t Entry);
  void awaitHandOver(std::size_t Entry);
  void remove(std::size_t Entry);

  FlowFleet &Fleet_;
  std::set<std::size_t> Live_;
  std::set<std::size_t> Leaving_;
  std::set<std::size_t> Sprayed_;
  std::map<std::size_t, Nanos> Lags_;
};

} // namespace medlarmoor::harness

#endif // MEDLARMOOR_HARNESS_FLEET_MEMBERSHIP_HPP
