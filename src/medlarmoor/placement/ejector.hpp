#ifndef MEDLARMOOR_PLACEMENT_EJECTOR_HPP
#define MEDLARMOOR_PLACEMENT_EJECTOR_HPP

#include <medlarmoor/affinity/tag.hpp>
#include <medlarmoor/core/time.hpp>
#include <medlarmoor/placement/ejection_limits.hpp>

#include <cstddef>
#include <unordered_map>

namespace medlarmoor::placement {

/// Outlier ejection: temporarily takes upstreams that leave handshakes
/// unanswered out of the selection for new flows.
class Ejector {
public:
  explicit Ejector(EjectionLimits Limits);

  /// Records a handshake timeout. Returns the duration of the ejection that it
  /// causes; zero if there are too few timeouts yet or the upstream is ejected
  /// already.
  Millis handshakeTimedOut(affinity::Tag Upstream, TimePoint Now);
  /// Records a completed handshake, which ends an ejection and resets the
  /// upstream's record. Returns true if the upstream had been ejected since its
  /// previous completed handshake.
  bool handshakeCompleted(affinity::Tag Upstream);
  /// Evicts records whose lifetime has passed. To be called several times per
  /// second.
  void expire(TimePoint Now);
  /// Returns the number of upstreams with a record.
  [[nodiscard]] std::size_t size() const noexcept { return Records_.size(); }
  /// Returns true if the upstream is ejected at time Now.
  [[nodiscard]] bool ejected(affinity::Tag Upstream,
                             TimePoint Now) const noexcept;
  /// Returns how many of the given number of candidates may be ejected at once.
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
