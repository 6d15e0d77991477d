#ifndef MEDLARMOOR_WIRE_LEAVE_NOTICE_HPP
#define MEDLARMOOR_WIRE_LEAVE_NOTICE_HPP

namespace medlarmoor::wire {

/// The last message of an entry that stops: its handoff is complete.
struct LeaveNotice {
  friend bool operator==(const LeaveNotice &, const LeaveNotice &) = default;
};

} // namespace medlarmoor::wire

#endif // MEDLARMOOR_WIRE_LEAVE_NOTICE_HPP
