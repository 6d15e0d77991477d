#ifndef MEDLARMOOR_MEMBERSHIP_CONTROL_STATUS_HPP
#define MEDLARMOOR_MEMBERSHIP_CONTROL_STATUS_HPP

#include <medlarmoor/config/fwd.hpp>
#include <medlarmoor/core/ids.hpp>
#include <medlarmoor/core/time.hpp>
#include <medlarmoor/membership/entry_state.hpp>
#include <medlarmoor/membership/fwd.hpp>

#include <cstddef>

namespace medlarmoor::membership {

/// What the control thread knew at its last tick.
struct ControlStatus {
  EntryState State_ = EntryState::Starting;
  Incarnation Run_;
  /// Null before the first tick.
  ViewPtr View_;
  /// The document in force; null for none.
  config::InForcePtr InForce_;
  std::size_t ListDisagreements_ = 0;
  TimePoint TickedAt_;
  /// The own lease was valid at that tick.
  bool LeaseValid_ = false;
};

} // namespace medlarmoor::membership

#endif // MEDLARMOOR_MEMBERSHIP_CONTROL_STATUS_HPP
