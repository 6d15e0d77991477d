#ifndef MEDLARMOOR_MEMBERSHIP_ENTRY_LIFECYCLE_HPP
#define MEDLARMOOR_MEMBERSHIP_ENTRY_LIFECYCLE_HPP

#include <medlarmoor/membership/entry_state.hpp>

#include <memory>

namespace medlarmoor::membership {

/// The state machine of one entry. Each event tells whether it was valid in
/// the present state; an event that was not changes nothing.
class EntryLifecycle {
public:
  EntryLifecycle();
  ~EntryLifecycle();
  EntryLifecycle(const EntryLifecycle &) = delete;
  EntryLifecycle &operator=(const EntryLifecycle &) = delete;

  [[nodiscard]] EntryState state() const noexcept;

  /// The list of instances was read, or a neighbour was heard.
  bool contacted();
  /// The members are known for long enough.
  bool learned();
  /// The own lease lapsed while the process did not run.
  bool lapsed();
  /// What the lapse made stale has been dropped.
  bool woken();
  /// A planned stop begins.
  bool leave();
  /// All that was held has been handed over.
  bool handedOver();

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace medlarmoor::membership

#endif // MEDLARMOOR_MEMBERSHIP_ENTRY_LIFECYCLE_HPP
