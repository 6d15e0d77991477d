#ifndef MEDLARMOOR_MEMBERSHIP_ENTRY_STATE_HPP
#define MEDLARMOOR_MEMBERSHIP_ENTRY_STATE_HPP

#include <string_view>

namespace medlarmoor::membership {

/// Where an entry stands between its start and its stop.
enum class EntryState : unsigned char {
  /// It knows neither the platform's list nor a neighbour.
  Starting,
  /// It learns the members; the others do not count it yet.
  Joining,
  /// It homes flows and requests.
  Live,
  /// It has found that its own lease lapsed while it did not run.
  Paused,
  /// It hands over.
  Leaving,
  /// It has said farewell.
  Stopped,
};

/// The state in lower case, for logs and status.
[[nodiscard]] constexpr std::string_view text(EntryState State) noexcept {
  switch (State) {
  case EntryState::Starting:
    return "starting";
  case EntryState::Joining:
    return "joining";
  case EntryState::Live:
    return "live";
  case EntryState::Paused:
    return "paused";
  case EntryState::Leaving:
    return "leaving";
  case EntryState::Stopped:
    return "stopped";
  }
  return "unknown";
}

} // namespace medlarmoor::membership

#endif // MEDLARMOOR_MEMBERSHIP_ENTRY_STATE_HPP
