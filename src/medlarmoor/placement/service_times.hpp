#ifndef MEDLARMOOR_PLACEMENT_SERVICE_TIMES_HPP
#define MEDLARMOOR_PLACEMENT_SERVICE_TIMES_HPP

#include <medlarmoor/affinity/tag.hpp>
#include <medlarmoor/core/endpoint.hpp>
#include <medlarmoor/core/time.hpp>

#include <cstddef>
#include <unordered_map>

namespace medlarmoor::placement {

/// Measures how long flows take at each upstream, compared with other flows of
/// the same route. Answers go from the upstream to the client without passing
/// this instance, which only sees when the client ends the flow.
class ServiceTimes {
public:
  /// Records the duration of a flow that has ended at an upstream. Virtual is
  /// the virtual address of its route.
  void recordFlow(Endpoint Virtual, affinity::Tag Upstream, Nanos Duration,
                  TimePoint Now);
  /// Returns how many times longer flows take at the upstream than elsewhere; 1
  /// if the difference is not significant. Without new flows the value decays
  /// to 1, so that an upstream that has recovered is tried again.
  [[nodiscard]] double slowness(affinity::Tag Upstream,
                                TimePoint Now) const noexcept;

  /// Evicts upstreams and routes without recent flows. To be called several
  /// times per second.
  void expire(TimePoint Now);
  /// Returns the number of upstreams with a record.
  [[nodiscard]] std::size_t size() const noexcept { return Records_.size(); }

private:
  struct MeanDuration {
    double Seconds_ = 0;
    TimePoint UpdatedAt_{};
  };
  struct Record {
    /// Mean ratio of a flow's duration to the mean duration of its route.
    double Ratio_ = 1.0;
    TimePoint UpdatedAt_{};
  };

  /// Mean duration of the flows of each route, by virtual address.
  std::unordered_map<Endpoint, MeanDuration> Means_;
  std::unordered_map<affinity::Tag, Record> Records_;
};

} // namespace medlarmoor::placement

#endif // MEDLARMOOR_PLACEMENT_SERVICE_TIMES_HPP
