#ifndef MEDLARMOOR_UPSTREAM_SLOT_POOL_HPP
#define MEDLARMOOR_UPSTREAM_SLOT_POOL_HPP

#include <medlarmoor/config/upstream.hpp>
#include <medlarmoor/core/clock.hpp>
#include <medlarmoor/core/random.hpp>
#include <medlarmoor/upstream/attempt_end.hpp>
#include <medlarmoor/upstream/load_report.hpp>
#include <medlarmoor/upstream/pool_policy.hpp>

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace medlarmoor::upstream {

/// Decides which upstream of one service runs the next request. It never
/// gives out more slots of an upstream than that has, whatever is reported.
class SlotPool {
public:
  SlotPool(PoolPolicy Policy, Clock Time, Random Source);

  /// Takes the upstreams in force; what was learnt of those that stay is kept.
  /// Slots of those that go are given back by release() as usual. Those of the
  /// first call count as warm, later ones as cold.
  void configure(std::span<const config::Upstream> Upstreams);
  /// Takes a slot of the best upstream, or nothing when none is free.
  [[nodiscard]] std::optional<config::Upstream> acquire();
  /// Gives the slot back after an attempt that took Elapsed.
  void release(const UpstreamName &Name, AttemptEnd End, Nanos Elapsed);
  /// Takes what the upstream reported about itself.
  void report(const UpstreamName &Name, const LoadReport &Report);

  /// Slots of all upstreams that take work.
  [[nodiscard]] std::uint32_t slots() const;
  /// Slots given out now.
  [[nodiscard]] std::uint32_t running() const;
  /// Slots of Name given out now.
  [[nodiscard]] std::uint32_t running(const UpstreamName &Name) const;
  /// The typical service time of one request; zero before the first.
  [[nodiscard]] Nanos typicalTime() const;

private:
  struct Entry {
    config::Upstream Upstream_;
    bool Present_ = true;
    std::uint32_t Running_ = 0;
    std::uint32_t Successes_ = 0;
    /// Smoothed time of one request; zero before the first.
    double Seconds_ = 0;
    Health Health_;
    LoadReport Report_;
    std::optional<TimePoint> Reported_;
    /// How well reports matched what was observed, from 0 to 1.
    double Accuracy_ = 0.5;
    unsigned ShedInRow_ = 0;
    TimePoint BackOffUntil_;
  };

  Entry *find(const UpstreamName &Name);
  [[nodiscard]] bool takesWork(const Entry &Each) const;
  [[nodiscard]] std::uint32_t allowed(const Entry &Each) const;
  [[nodiscard]] double othersLoad(const Entry &Each) const;
  [[nodiscard]] double score(const Entry &Each, double Typical) const;
  [[nodiscard]] double typicalSeconds() const;
  void learn(Entry &Of, double Seconds);
  void backOff(Entry &From);

  PoolPolicy Policy_;
  Clock Time_;
  Random Source_;
  std::vector<Entry> Entries_;
};

} // namespace medlarmoor::upstream

#endif // MEDLARMOOR_UPSTREAM_SLOT_POOL_HPP
