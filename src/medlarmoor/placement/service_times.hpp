#ifndef MEDLARMOOR_PLACEMENT_SERVICE_TIMES_HPP
#define MEDLARMOOR_PLACEMENT_SERVICE_TIMES_HPP

#include <medlarmoor/affinity/tag.hpp>
#include <medlarmoor/core/endpoint.hpp>
#include <medlarmoor/core/time.hpp>

#include <cstddef>
#include <unordered_map>

namespace medlarmoor::placement {

/// Measures how long requests take at each upstream, compared with other
/// requests of the same route. Answers go from the upstream to the client
/// without passing this instance, which only sees the client acknowledge them.
class ServiceTimes {
public:
  /// Records how long an upstream has taken to process a request. Virtual is
  /// the virtual address of its route.
  void recordRequest(Endpoint Virtual, affinity::Tag Upstream, Nanos Duration,
                     TimePoint Now);
  /// Returns how many times longer requests take at the upstream than
  /// elsewhere; 1 if the difference is not significant. Without new requests
  /// the value decays to 1, so that an upstream that has recovered is tried
  /// again.
  [[nodiscard]] double slowness(affinity::Tag Upstream,
                                TimePoint Now) const noexcept;

  /// Evicts upstreams and routes without recent requests. To be called several
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
    /// Mean ratio of a request's duration to the mean duration of its route.
    double Ratio_ = 1.0;
    TimePoint UpdatedAt_{};
  };

  /// Mean duration of the requests of each route, by virtual address.
  std::unordered_map<Endpoint, MeanDuration> Means_;
  std::unordered_map<affinity::Tag, Record> Records_;
};

} // namespace medlarmoor::placement

#endif // MEDLARMOOR_PLACEMENT_SERVICE_TIMES_HPP
