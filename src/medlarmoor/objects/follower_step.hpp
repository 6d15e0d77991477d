#ifndef MEDLARMOOR_OBJECTS_FOLLOWER_STEP_HPP
#define MEDLARMOOR_OBJECTS_FOLLOWER_STEP_HPP

#include <medlarmoor/core/time.hpp>

#include <cstdint>
#include <string>
#include <variant>

namespace medlarmoor::objects {

/// Requests a list of the objects after a name.
struct ListCall {
  /// Empty to list from the first object.
  std::string After_;
};

/// Requests a watch, which waits for changes after a revision.
struct WatchCall {
  std::uint64_t Revision_ = 0;
  Millis Wait_{0};
};

/// Requests that no call be made before a time.
struct Pause {
  TimePoint Until_{};
};

/// The next step that a Follower requests.
using FollowerStep = std::variant<ListCall, WatchCall, Pause>;

} // namespace medlarmoor::objects

#endif // MEDLARMOOR_OBJECTS_FOLLOWER_STEP_HPP
