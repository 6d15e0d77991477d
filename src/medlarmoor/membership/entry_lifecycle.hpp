#ifndef MEDLARMOOR_MEMBERSHIP_ENTRY_LIFECYCLE_HPP
#define MEDLARMOOR_MEMBERSHIP_ENTRY_LIFECYCLE_HPP

#include <medlarmoor/membership/entry_state.hpp>

#include <memory>

namespace medlarmoor::membership {

/// The state machine of one entry. Each event function returns true if the
/// event is valid in the current state; otherwise the state does not change.
class EntryLifecycle {
public:
  EntryLifecycle();
  ~EntryLifecycle();
  EntryLifecycle(const EntryLifecycle &) = delete;
  EntryLifecycle &operator=(const EntryLifecycle &) = delete;

  [[nodiscard]] EntryState state() const noexcept;

  /// Reports that the list of instances was read or a neighbour was heard.
  bool contacted();
  /// Reports that the members have been known for long enough.
  bool membersLearned();
  /// Reports that the lease of this entry lapsed while its process did not run.
  bool leaseLapsed();
  /// Reports that the state that became stale in the lapse was discarded.
  bool resumed();
  /// Begins a planned stop.
  bool leave();
  /// Reports that the handoff is complete.
  bool handoffComplete();

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace medlarmoor::membership

#endif // MEDLARMOOR_MEMBERSHIP_ENTRY_LIFECYCLE_HPP
