#ifndef MEDLARMOOR_MEMBERSHIP_ENTRY_STATE_HPP
#define MEDLARMOOR_MEMBERSHIP_ENTRY_STATE_HPP

#include <string_view>

namespace medlarmoor::membership {

/// The state of an entry between its start and its stop.
enum class EntryState : unsigned char {
  /// The entry knows neither the platform's list nor a neighbour.
  Starting,
  /// The entry learns the members; the others do not count it as a member
  /// yet.
  Joining,
  /// The entry is a home for flows and requests.
  Live,
  /// The entry found that its lease lapsed while its process did not run.
  Paused,
  /// The entry hands off its flows and requests.
  Leaving,
  /// The entry has sent its leave notice.
  Stopped,
};

/// Returns the name of State in lower case, for logs and status pages.
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
