#ifndef MEDLARMOOR_PLACEMENT_FAILURE_RATES_HPP
#define MEDLARMOOR_PLACEMENT_FAILURE_RATES_HPP

#include <medlarmoor/affinity/tag.hpp>
#include <medlarmoor/core/endpoint.hpp>
#include <medlarmoor/core/time.hpp>
#include <medlarmoor/placement/answer_size.hpp>
#include <medlarmoor/placement/outcome.hpp>
#include <medlarmoor/placement/suspect.hpp>

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

namespace medlarmoor::placement {

/// Measures how often requests fail at each upstream, compared with other
/// requests of the same route. Answers go from the upstream to the client
/// without passing this instance, which only sees how many of their bytes the
/// client acknowledges.
class FailureRates {
public:
  /// Classifies and records a request that has ended. Virtual is the virtual
  /// address of its route; ReceivedBytes is the size of the answer as far as
  /// the client acknowledged it.
  Outcome recordRequest(Endpoint Virtual, affinity::Tag Upstream,
                        std::uint32_t ReceivedBytes, TimePoint Now);
  /// Records that no answer to a request was received within the route's
  /// latency objective. This is weak evidence, because the flow may have moved
  /// to another instance.
  void recordOverdue(affinity::Tag Upstream, TimePoint Now);
  /// Records a failure reported by another instance, unless the upstream is
  /// avoided already. Returns true if this instance avoids the upstream from
  /// now on.
  bool recordReport(const Suspect &Report, TimePoint Now);
  /// Returns the suspects to report to other instances: failures since the last
  /// call at upstreams that were not avoided at that time. Returns none if
  /// there are many, as the fault is then more likely between the upstreams and
  /// this instance.
  std::vector<Suspect> takeSuspects();

  /// Returns by how much the share of failed requests at the upstream exceeds
  /// that of its routes, from 0 to 1; 0 if the difference is not significant.
  /// Without new failures the excess decays, more slowly the more often further
  /// attempts have failed.
  [[nodiscard]] double excess(affinity::Tag Upstream,
                              TimePoint Now) const noexcept;
  /// Evicts decayed records and routes without recent requests. To be called
  /// several times per second.
  void expire(TimePoint Now);
  /// Returns the number of upstreams with a record.
  [[nodiscard]] std::size_t size() const noexcept { return Records_.size(); }

private:
  struct RouteStats {
    AnswerSize AnswerSize_;
    /// Share of requests that failed, 0 to 1.
    double FailureShare_ = 0;
    TimePoint UpdatedAt_{};
  };
  struct Record {
    double Excess_ = 0;
    TimePoint UpdatedAt_{};
    /// True if the upstream has been avoided since its last success.
    bool AvoidedSinceSuccess_ = false;
    /// How often the excess became significant again after it had decayed,
    /// without a success in between; limited.
    unsigned Relapses_ = 0;
  };

  /// Updates the failure share of a route and the excess of an upstream with
  /// one ended request.
  void recordSample(RouteStats &Stats, affinity::Tag Upstream, bool Failed,
                    TimePoint Now);
  /// Sets the excess of an upstream. Remaining is what the previous excess has
  /// decayed to.
  static void setExcess(Record &Entry, double Excess, double Remaining,
                        TimePoint Now);
  /// Returns what the excess of an upstream has decayed to at time Now.
  [[nodiscard]] static double decayedExcess(const Record &Entry,
                                            TimePoint Now) noexcept;

  std::unordered_map<Endpoint, RouteStats> Routes_;
  std::unordered_map<affinity::Tag, Record> Records_;
  std::vector<Suspect> Suspects_;
};

} // namespace medlarmoor::placement

#endif // MEDLARMOOR_PLACEMENT_FAILURE_RATES_HPP
