#ifndef MEDLARMOOR_MEMBERSHIP_CONTROL_STATUS_HPP
#define MEDLARMOOR_MEMBERSHIP_CONTROL_STATUS_HPP

#include <medlarmoor/config/fwd.hpp>
#include <medlarmoor/core/ids.hpp>
#include <medlarmoor/core/time.hpp>
#include <medlarmoor/membership/entry_state.hpp>
#include <medlarmoor/membership/fwd.hpp>

#include <cstddef>

namespace medlarmoor::membership {

/// The status of the control thread at its last tick.
struct ControlStatus {
  EntryState State_ = EntryState::Starting;
  Incarnation Run_;
  /// The view; null before the first tick.
  ViewPtr View_;
  /// The configuration document in force; null if there is none.
  config::ActiveConfigPtr InForce_;
  std::size_t ListDisagreements_ = 0;
  TimePoint TickedAt_;
  /// True if the lease of this entry was valid at that tick.
  bool LeaseValid_ = false;
};

} // namespace medlarmoor::membership

#endif // MEDLARMOOR_MEMBERSHIP_CONTROL_STATUS_HPP
