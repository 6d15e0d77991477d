#ifndef MEDLARMOOR_PEERS_READER_ELECTION_HPP
#define MEDLARMOOR_PEERS_READER_ELECTION_HPP

#include <medlarmoor/peers/announcement.hpp>
#include <medlarmoor/peers/election_timing.hpp>

#include <cstddef>
#include <optional>

namespace medlarmoor::peers {

/// Decides whether another instance's reading of the store serves this one,
/// too. Nobody agrees on a reader: whoever hears of none reads, and of several
/// readers the one that comes first goes on. A wrong guess costs calls, never
/// freshness.
class ReaderElection {
public:
  ReaderElection(Endpoint Self, ElectionTiming Timing);

  /// True when this instance may rely on what From says that it has read.
  /// SelfReading tells whether this one reads the store now.
  [[nodiscard]] bool trusts(const Announcement &From,
                            bool SelfReading) const noexcept;
  /// Until when a trusted announcement that came at Now replaces reading. Rank
  /// members take over earlier.
  [[nodiscard]] TimePoint deferUntil(TimePoint Now,
                                     std::size_t Rank) const noexcept;
  /// True when Each is recent enough to be passed on as read.
  [[nodiscard]] bool
  current(const std::optional<CollectionState> &Each) const noexcept;

private:
  Endpoint Self_;
  ElectionTiming Timing_;
};

} // namespace medlarmoor::peers

#endif // MEDLARMOOR_PEERS_READER_ELECTION_HPP
