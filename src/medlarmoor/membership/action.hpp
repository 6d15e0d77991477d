#ifndef MEDLARMOOR_MEMBERSHIP_ACTION_HPP
#define MEDLARMOOR_MEMBERSHIP_ACTION_HPP

#include <medlarmoor/core/ids.hpp>
#include <medlarmoor/core/ipv4.hpp>
#include <medlarmoor/membership/fwd.hpp>
#include <medlarmoor/wire/message.hpp>

#include <variant>
#include <vector>

namespace medlarmoor::membership {

/// Sign the message once and send it to each address.
struct Send {
  std::vector<Ipv4> To_;
  wire::Message Message_;
};

/// Hand the view to the other threads.
struct Publish {
  ViewPtr View_;
};

/// Read the platform's list of instances and report the outcome.
struct ReadList {};

/// The process did not run for longer than its lease: sign as the new
/// incarnation from now on and drop what waits in the socket.
struct Renew {
  Incarnation Run_;
};

/// What the mesh asks its thread to do.
using Action = std::variant<Send, Publish, ReadList, Renew>;
using Actions = std::vector<Action>;

} // namespace medlarmoor::membership

#endif // MEDLARMOOR_MEMBERSHIP_ACTION_HPP
