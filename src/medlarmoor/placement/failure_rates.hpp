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

/// How often requests fail at each upstream, compared with other requests of
/// the same route. Answers bypass this instance; what it sees is how much of
/// them the client acknowledged.
class FailureRates {
public:
  /// The client of a route's virtual address has received Received bytes in
  /// answer to a request, and wants no more. Tells what that was.
  Outcome recordRequest(Endpoint Virtual, affinity::Tag Upstream,
                        std::uint32_t Received, TimePoint Now);
  /// A request has got nothing within the route's latency objective. Weak
  /// evidence: its flow may have moved to another instance.
  void recordOverdue(affinity::Tag Upstream, TimePoint Now);
  /// Another instance saw a request fail. Tells whether this instance avoids
  /// the upstream from now on.
  bool recordReport(const Suspect &Each, TimePoint Now);
  /// What others should know of since the last call: failures at upstreams that
  /// were not avoided. Empty when they are many: the fault is then more likely
  /// between them and this instance.
  std::vector<Suspect> takeSuspects();

  /// By how much the share of failures at the upstream exceeds that of its
  /// routes, 0 to 1; 0 unless the difference is clear. Without new failures it
  /// fades, the slower the more often trying again has failed.
  [[nodiscard]] double excess(affinity::Tag Upstream,
                              TimePoint Now) const noexcept;
  /// Forgets what has faded. Call it a few times a second.
  void expire(TimePoint Now);
  /// Upstreams with a record.
  [[nodiscard]] std::size_t size() const noexcept { return Records_.size(); }

private:
  struct Route {
    AnswerSize Sizes_;
    /// Share of requests that failed, 0 to 1.
    double Failures_ = 0;
    TimePoint UpdatedAt_{};
  };
  struct Record {
    double Excess_ = 0;
    TimePoint UpdatedAt_{};
    /// The upstream has been avoided since the last success.
    bool Avoided_ = false;
    /// Failures that came after an earlier excess had faded.
    unsigned Repeats_ = 0;
  };

  void count(Route &Of, affinity::Tag Upstream, bool Failed, TimePoint Now);
  /// Sets the excess of an upstream; Left is what remained of the earlier one.
  static void update(Record &Each, double Excess, double Left, TimePoint Now);
  [[nodiscard]] static double faded(const Record &Each, TimePoint Now) noexcept;

  std::unordered_map<Endpoint, Route> Routes_;
  std::unordered_map<affinity::Tag, Record> Records_;
  std::vector<Suspect> Suspects_;
};

} // namespace medlarmoor::placement

#endif // MEDLARMOOR_PLACEMENT_FAILURE_RATES_HPP
