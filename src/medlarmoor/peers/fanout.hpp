#ifndef MEDLARMOOR_PEERS_FANOUT_HPP
#define MEDLARMOOR_PEERS_FANOUT_HPP

#include <cstddef>
#include <variant>

namespace medlarmoor::peers {

/// Passes news on to random members, as in epidemic broadcast. Each instance
/// sends a constant number of messages at any fleet size, and there are many
/// independent paths to each one.
struct RandomFanout {
  /// Members of the own failure domain, and members of any.
  std::size_t Local_ = 2;
  std::size_t Any_ = 2;
};

/// Sends news to all known members. Only for small fleets.
struct AllMembers {};

using Fanout = std::variant<RandomFanout, AllMembers>;

} // namespace medlarmoor::peers

#endif // MEDLARMOOR_PEERS_FANOUT_HPP
