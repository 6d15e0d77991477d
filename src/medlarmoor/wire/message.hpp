#ifndef MEDLARMOOR_WIRE_MESSAGE_HPP
#define MEDLARMOOR_WIRE_MESSAGE_HPP

#include <medlarmoor/wire/config_notice.hpp>
#include <medlarmoor/wire/farewell.hpp>
#include <medlarmoor/wire/flow_update.hpp>
#include <medlarmoor/wire/heartbeat.hpp>

#include <variant>

namespace medlarmoor::wire {

/// Every control message that one entry sends to another over UDP.
using Message = std::variant<Heartbeat, Farewell, FlowUpdate, ConfigNotice>;

} // namespace medlarmoor::wire

#endif // MEDLARMOOR_WIRE_MESSAGE_HPP
