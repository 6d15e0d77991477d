#ifndef MEDLARMOOR_BENCH_WORLD_SAMPLER_HPP
#define MEDLARMOOR_BENCH_WORLD_SAMPLER_HPP

#include <harness/cluster.hpp>
#include <harness/imbalance.hpp>

#include <functional>
#include <map>
#include <string>

namespace medlarmoor::bench {

/// Looks at a running cluster again and again: how evenly flows lie on the
/// upstreams, and whether the version of an entry ever goes back.
class Sampler {
public:
  explicit Sampler(harness::Cluster &World) : World_(World) {}

  /// Samples until Until; Between runs after each sample.
  void sampleUntil(TimePoint Until, const std::function<void()> &Between = {});

  /// Flows on the upstreams of the first service that do not drain.
  [[nodiscard]] const harness::Imbalance &imbalance() const noexcept {
    return Imbalance_;
  }
  /// Times that a running entry was seen on a lower version than before.
  [[nodiscard]] std::uint64_t reverts() const noexcept { return Reverts_; }
  /// Forgets the version of an entry that ended.
  void forget(const std::string &Entry) { Versions_.erase(Entry); }

private:
  void sampleFlows();
  void sampleVersions();

  harness::Cluster &World_;
  harness::Imbalance Imbalance_;
  std::map<std::string, std::uint64_t> Versions_;
  std::uint64_t Reverts_ = 0;
};

} // namespace medlarmoor::bench

#endif // MEDLARMOOR_BENCH_WORLD_SAMPLER_HPP
