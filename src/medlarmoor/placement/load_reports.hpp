#ifndef MEDLARMOOR_PLACEMENT_LOAD_REPORTS_HPP
#define MEDLARMOOR_PLACEMENT_LOAD_REPORTS_HPP

#include <medlarmoor/core/endpoint.hpp>
#include <medlarmoor/core/time.hpp>
#include <medlarmoor/placement/upstream_load.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace medlarmoor::placement {

/// Keeps the last load report of each peer and their sum for each upstream. A
/// report counts in full for one second and decays to zero within two more.
/// While the load does not grow, a lost or late report therefore makes the sum
/// larger than it would be, not smaller, until the previous one has decayed.
class LoadReports {
public:
  /// Replaces the report of a peer; an empty one removes it. A report of a peer
  /// beyond the maximum number of peers is ignored.
  void record(Endpoint Peer, std::vector<UpstreamLoad> Loads, TimePoint Now);
  /// Returns the number of flows that peers have in progress at an upstream.
  /// The decay is that of the last call of expire(), so that a call is a single
  /// look-up; the result may be too large for that long, but never too small.
  [[nodiscard]] double load(affinity::Tag Upstream,
                            TimePoint Now) const noexcept;
  /// Returns the age of the oldest report that still counts, if any.
  [[nodiscard]] std::optional<Millis> age(TimePoint Now) const noexcept;
  /// Applies the decay and drops the reports that no longer count. A peer that
  /// has left is dropped in this way before its membership lapses. To be called
  /// several times per second.
  void expire(TimePoint Now);
  /// Returns the number of peers with a report that was kept.
  [[nodiscard]] std::size_t size() const noexcept { return Reports_.size(); }

private:
  struct Report {
    std::vector<UpstreamLoad> Loads_;
    TimePoint ReceivedAt_{};
    /// The weight with which the report is part of Sums_.
    std::int64_t Weight_ = 0;
  };

  /// Changes the weight of a report in Sums_.
  void setWeight(Report &Known, std::int64_t Weight);

  std::unordered_map<Endpoint, Report> Reports_;
  /// Sum of tenths times weights. Integers, as sums that are changed step by
  /// step would drift.
  std::unordered_map<affinity::Tag, std::int64_t> Sums_;
  /// Time at which the most recent report was received.
  TimePoint NewestAt_{};
};

} // namespace medlarmoor::placement

#endif // MEDLARMOOR_PLACEMENT_LOAD_REPORTS_HPP
