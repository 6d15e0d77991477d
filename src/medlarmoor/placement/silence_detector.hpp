#ifndef MEDLARMOOR_PLACEMENT_SILENCE_DETECTOR_HPP
#define MEDLARMOOR_PLACEMENT_SILENCE_DETECTOR_HPP

#include <medlarmoor/affinity/tag.hpp>
#include <medlarmoor/core/endpoint.hpp>
#include <medlarmoor/core/time.hpp>

#include <cstddef>
#include <optional>
#include <unordered_map>
#include <vector>

namespace medlarmoor::placement {

/// Recognizes upstreams that answer no handshakes: that have crashed without
/// notice, cannot be reached or are full. New flows avoid such an upstream; the
/// flows that it holds may still be served, so that nothing may be concluded
/// about them.
class SilenceDetector {
public:
  /// Records that an upstream has left a handshake of this instance unanswered.
  void recordTimeout(affinity::Tag Upstream, TimePoint Now);
  /// Records that a client of this instance has repeated a request of which the
  /// upstream has answered nothing.
  void recordRepeatedRequest(affinity::Tag Upstream, TimePoint Now);
  /// Records that a peer has seen an upstream leave a handshake unanswered.
  void recordReport(affinity::Tag Upstream, Endpoint Peer, TimePoint Now);
  /// Records that an upstream has answered, which clears the evidence.
  void recordResponse(affinity::Tag Upstream, TimePoint Now);

  /// Returns true if the upstream is silent while others answer this instance.
  [[nodiscard]] bool silent(affinity::Tag Upstream,
                            TimePoint Now) const noexcept;
  /// Returns the upstreams to report to peers, those of unanswered handshakes
  /// since the last call, and clears the list.
  std::vector<affinity::Tag> takeReports();
  /// Evicts outdated records. To be called several times per second.
  void expire(TimePoint Now);
  /// Returns the number of upstreams with a record.
  [[nodiscard]] std::size_t size() const noexcept { return Records_.size(); }

private:
  /// A handshake that this instance (Observer_ is unset) or a peer saw
  /// unanswered.
  struct Timeout {
    Endpoint Observer_;
    TimePoint At_{};
  };
  struct Record {
    std::vector<Timeout> Timeouts_;
    std::optional<TimePoint> RepeatedRequest_;
    std::optional<TimePoint> LastResponse_;
    /// Set once the evidence suffices, until the upstream answers.
    std::optional<TimePoint> MarkedAt_;
    TimePoint UpdatedAt_{};
  };

  void addTimeout(affinity::Tag Upstream, Endpoint Observer, TimePoint Now);
  /// Marks the upstream as silent if there is enough evidence.
  static void update(Record &Evidence, TimePoint Now);
  /// Returns true if the upstream has not answered lately, and others have.
  [[nodiscard]] bool unanswered(const Record &Evidence,
                                TimePoint Now) const noexcept;

  std::unordered_map<affinity::Tag, Record> Records_;
  std::vector<affinity::Tag> Reports_;
  std::optional<TimePoint> LastResponse_;
};

} // namespace medlarmoor::placement

#endif // MEDLARMOOR_PLACEMENT_SILENCE_DETECTOR_HPP
