#ifndef MEDLARMOOR_UPSTREAM_SLOT_POOL_HPP
#define MEDLARMOOR_UPSTREAM_SLOT_POOL_HPP

#include <medlarmoor/config/upstream.hpp>
#include <medlarmoor/core/clock.hpp>
#include <medlarmoor/core/random.hpp>
#include <medlarmoor/upstream/attempt_result.hpp>
#include <medlarmoor/upstream/load_report.hpp>
#include <medlarmoor/upstream/pool_policy.hpp>

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace medlarmoor::upstream {

/// Chooses the upstream of one service that runs the next request. Never
/// allocates more slots of an upstream than it has, regardless of its reports.
class SlotPool {
public:
  SlotPool(PoolPolicy Policy, Clock Time, Random Generator);

  /// Sets the upstreams in force and keeps the observations of those that
  /// remain. Slots of removed upstreams are still returned by release().
  /// Upstreams of the first call count as warm, those added later as cold.
  void configure(std::span<const config::Upstream> Upstreams);
  /// Allocates a slot of the best upstream, or returns nothing if none is free.
  [[nodiscard]] std::optional<config::Upstream> acquire();
  /// Returns the slot of Name after an attempt that took Elapsed.
  void release(const UpstreamName &Name, AttemptResult End, Nanos Elapsed);
  /// Records the load that the upstream Name reported.
  void recordReport(const UpstreamName &Name, const LoadReport &Report);

  /// Returns the number of slots of all upstreams that accept work.
  [[nodiscard]] std::uint32_t slots() const;
  /// Returns the number of slots in use.
  [[nodiscard]] std::uint32_t running() const;
  /// Returns the number of slots of Name in use.
  [[nodiscard]] std::uint32_t running(const UpstreamName &Name) const;
  /// Returns the median of the smoothed service times of the upstreams, or zero
  /// before the first response.
  [[nodiscard]] Nanos medianServiceTime() const;

private:
  struct PooledUpstream {
    config::Upstream Upstream_;
    bool Listed_ = true;
    std::uint32_t Running_ = 0;
    std::uint32_t Successes_ = 0;
    /// Smoothed service time in seconds; zero before the first response.
    double ServiceSeconds_ = 0;
    Health Health_;
    LoadReport Report_;
    std::optional<TimePoint> ReportedAt_;
    /// How well reports of load by others match observed delays, from 0 to 1.
    double ReportAccuracy_ = 0.5;
    unsigned ConsecutiveRefusals_ = 0;
    TimePoint BackoffUntil_;
  };

  PooledUpstream *find(const UpstreamName &Name);
  [[nodiscard]] bool acceptsWork(const PooledUpstream &Target) const;
  [[nodiscard]] std::uint32_t allowedSlots(const PooledUpstream &Target) const;
  [[nodiscard]] double othersLoad(const PooledUpstream &Target) const;
  [[nodiscard]] double score(const PooledUpstream &Target,
                             double MedianSeconds) const;
  [[nodiscard]] double medianSeconds() const;
  void recordServiceTime(PooledUpstream &Target, double Seconds);
  void startBackoff(PooledUpstream &Target);

  PoolPolicy Policy_;
  Clock Time_;
  Random Random_;
  std::vector<PooledUpstream> Upstreams_;
};

} // namespace medlarmoor::upstream

#endif // MEDLARMOOR_UPSTREAM_SLOT_POOL_HPP
