#ifndef MEDLARMOOR_OBJECTS_FOLLOWER_STEP_HPP
#define MEDLARMOOR_OBJECTS_FOLLOWER_STEP_HPP

#include <medlarmoor/core/store_revision.hpp>
#include <medlarmoor/core/time.hpp>

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
  StoreRevision Revision_;
  Millis Wait_{0};
};

/// A call to the store.
using StoreCall = std::variant<ListCall, WatchCall>;

/// Requests that no call be made before a time.
struct Pause {
  TimePoint Until_{};
};

/// The next step that a Follower requests.
using FollowerStep = std::variant<ListCall, WatchCall, Pause>;

} // namespace medlarmoor::objects

#endif // MEDLARMOOR_OBJECTS_FOLLOWER_STEP_HPP
