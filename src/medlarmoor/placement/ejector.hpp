#ifndef MEDLARMOOR_PLACEMENT_EJECTOR_HPP
#define MEDLARMOOR_PLACEMENT_EJECTOR_HPP

#include <medlarmoor/affinity/tag.hpp>
#include <medlarmoor/core/time.hpp>
#include <medlarmoor/placement/ejection_limits.hpp>

#include <cstddef>
#include <unordered_map>

namespace medlarmoor::placement {

/// Outlier ejection: an upstream that left a handshake unanswered takes no new
/// flows for a while.
class Ejector {
public:
  explicit Ejector(EjectionLimits Limits);

  /// A handshake with the upstream timed out. Gives how long it is ejected;
  /// zero when this is too little evidence or it was ejected already.
  Millis handshakeTimedOut(affinity::Tag Upstream, TimePoint Now);
  /// A handshake with the upstream was completed. Tells whether it had been
  /// ejected.
  bool handshakeCompleted(affinity::Tag Upstream);
  /// Forgets upstreams that had no timeout for long. Call it a few times a
  /// second.
  void expire(TimePoint Now);
  /// Upstreams with a record.
  [[nodiscard]] std::size_t size() const noexcept { return Records_.size(); }
  /// True while the upstream is ejected.
  [[nodiscard]] bool ejected(affinity::Tag Upstream,
                             TimePoint Now) const noexcept;
  /// How many of Candidates may be ejected at once.
  [[nodiscard]] std::size_t maxEjected(std::size_t Candidates) const noexcept;

private:
  struct Record {
    TimePoint EjectedUntil_{};
    TimePoint LastTimeoutAt_{};
    /// Timeouts since the last completed handshake.
    std::uint32_t Timeouts_ = 0;
    /// Ejections since the last completed handshake.
    unsigned Ejections_ = 0;
  };

  EjectionLimits Limits_;
  std::unordered_map<affinity::Tag, Record> Records_;
};

} // namespace medlarmoor::placement

#endif // MEDLARMOOR_PLACEMENT_EJECTOR_HPP
