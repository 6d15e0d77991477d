#ifndef MEDLARMOOR_PEERS_READER_ELECTION_HPP
#define MEDLARMOOR_PEERS_READER_ELECTION_HPP

#include <medlarmoor/peers/announcement.hpp>
#include <medlarmoor/peers/election_timing.hpp>

#include <cstddef>
#include <optional>

namespace medlarmoor::peers {

/// Decides whether this instance may rely on another instance's reading of the
/// store instead of reading it itself. Instances do not agree on a reader: an
/// instance that hears of none reads the store, and of several readers the one
/// with the lowest precedence() continues. A wrong decision causes additional
/// calls to the store, but never makes data less current.
class ReaderElection {
public:
  ReaderElection(Endpoint Self, ElectionTiming Timing);

  /// Returns true if this instance may rely on what the sender of Message has
  /// read. IsReader states whether this instance reads the store now.
  [[nodiscard]] bool trusts(const Announcement &Message,
                            bool IsReader) const noexcept;
  /// Returns until when a trusted announcement received at Now replaces reading
  /// the store. Rank is the number of members that take over earlier.
  [[nodiscard]] TimePoint deferUntil(TimePoint Now,
                                     std::size_t Rank) const noexcept;
  /// Returns true if State is recent enough for others to rely on it.
  [[nodiscard]] bool
  isCurrent(const std::optional<CollectionState> &State) const noexcept;

private:
  Endpoint Self_;
  ElectionTiming Timing_;
};

} // namespace medlarmoor::peers

#endif // MEDLARMOOR_PEERS_READER_ELECTION_HPP
