#ifndef MEDLARMOOR_WIRE_MESSAGE_HPP
#define MEDLARMOOR_WIRE_MESSAGE_HPP

#include <medlarmoor/wire/config_notice.hpp>
#include <medlarmoor/wire/flow_update.hpp>
#include <medlarmoor/wire/heartbeat.hpp>
#include <medlarmoor/wire/leave_notice.hpp>
#include <medlarmoor/wire/member_table.hpp>
#include <medlarmoor/wire/table_request.hpp>

#include <variant>

namespace medlarmoor::wire {

/// A control message that one entry sends to another over UDP. The index of an
/// alternative is its type number on the wire.
using Message = std::variant<Heartbeat, LeaveNotice, FlowUpdate, ConfigNotice,
                             TableRequest, MemberTable>;

} // namespace medlarmoor::wire

#endif // MEDLARMOOR_WIRE_MESSAGE_HPP
