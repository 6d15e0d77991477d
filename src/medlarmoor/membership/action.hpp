#ifndef MEDLARMOOR_MEMBERSHIP_ACTION_HPP
#define MEDLARMOOR_MEMBERSHIP_ACTION_HPP

#include <medlarmoor/core/ids.hpp>
#include <medlarmoor/core/ipv4.hpp>
#include <medlarmoor/membership/fwd.hpp>
#include <medlarmoor/wire/message.hpp>

#include <variant>
#include <vector>

namespace medlarmoor::membership {

/// Signs Message_ once and sends it to each address.
struct Send {
  std::vector<Ipv4> To_;
  wire::Message Message_;
};

/// Passes the view to the other threads.
struct Publish {
  ViewPtr View_;
};

/// Reads the platform's list of instances and passes the result to
/// Mesh::onList().
struct ReadList {};

/// Signs with a new incarnation from now on and discards the datagrams that
/// wait in the socket. Requested when the process did not run for longer than
/// its lease, or when another entry knows a higher incarnation of it.
struct ChangeIncarnation {
  Incarnation Run_;
};

/// A request of the mesh to the thread that runs it.
using Action = std::variant<Send, Publish, ReadList, ChangeIncarnation>;
using Actions = std::vector<Action>;

} // namespace medlarmoor::membership

#endif // MEDLARMOOR_MEMBERSHIP_ACTION_HPP
