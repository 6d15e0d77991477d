#ifndef MEDLARMOOR_OBJECTS_FOLLOWER_STEP_HPP
#define MEDLARMOOR_OBJECTS_FOLLOWER_STEP_HPP

#include <medlarmoor/core/time.hpp>

#include <cstdint>
#include <string>
#include <variant>

namespace medlarmoor::objects {

/// List the objects behind a name.
struct ListCall {
  std::string After_;
};

/// Wait for changes after a revision.
struct WatchCall {
  std::uint64_t Revision_ = 0;
  Millis Wait_{0};
};

/// Do nothing until then.
struct Pause {
  TimePoint Until_{};
};

/// What a follower wants to be done next.
using FollowerStep = std::variant<ListCall, WatchCall, Pause>;

} // namespace medlarmoor::objects

#endif // MEDLARMOOR_OBJECTS_FOLLOWER_STEP_HPP
