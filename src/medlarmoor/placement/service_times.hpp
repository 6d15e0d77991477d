#ifndef MEDLARMOOR_PLACEMENT_SERVICE_TIMES_HPP
#define MEDLARMOOR_PLACEMENT_SERVICE_TIMES_HPP

#include <medlarmoor/affinity/tag.hpp>
#include <medlarmoor/core/endpoint.hpp>
#include <medlarmoor/core/time.hpp>

#include <cstddef>
#include <unordered_map>

namespace medlarmoor::placement {

/// How long flows take at each upstream, compared with other flows of the same
/// route. The answers bypass this instance; what it sees is the client's end of
/// the flow.
class ServiceTimes {
public:
  /// A flow of a route ended after Duration at an upstream.
  void recordFlow(Endpoint Virtual, affinity::Tag Upstream, Nanos Duration,
                  TimePoint Now);
  /// How many times longer flows take at the upstream than elsewhere; 1 unless
  /// the difference is clear. Without new flows it fades, so that an upstream
  /// that recovered is tried again.
  [[nodiscard]] double slowness(affinity::Tag Upstream,
                                TimePoint Now) const noexcept;

  /// Forgets upstreams and routes without flows. Call it a few times a second.
  void expire(TimePoint Now);
  /// Upstreams with a record.
  [[nodiscard]] std::size_t size() const noexcept { return Records_.size(); }

private:
  struct MeanDuration {
    double Seconds_ = 0;
    TimePoint UpdatedAt_{};
  };
  struct Record {
    double Ratio_ = 1.0;
    TimePoint UpdatedAt_{};
  };

  /// Mean duration of a route's flows.
  std::unordered_map<Endpoint, MeanDuration> Means_;
  std::unordered_map<affinity::Tag, Record> Records_;
};

} // namespace medlarmoor::placement

#endif // MEDLARMOOR_PLACEMENT_SERVICE_TIMES_HPP
