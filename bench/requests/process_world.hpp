#ifndef MEDLARMOOR_BENCH_REQUESTS_PROCESS_WORLD_HPP
#define MEDLARMOOR_BENCH_REQUESTS_PROCESS_WORLD_HPP

#include <bench/options.hpp>
#include <bench/record.hpp>
#include <harness/cluster.hpp>
#include <harness/verdict.hpp>

#include <functional>
#include <string>

namespace medlarmoor::bench {

/// Five real entries of one failure domain with real upstreams and callers
/// that send requests to one service.
class ProcessWorld {
public:
  explicit ProcessWorld(const Options &Asked, bool Proxied = false);

  /// Starts all and the load; false with a line on standard error.
  [[nodiscard]] bool start(double Rate);
  /// Ends the load and gathers what callers and upstreams saw.
  [[nodiscard]] harness::Verdict finish();

  /// The entry that dispatches the service while all entries live.
  [[nodiscard]] std::string dispatcher() const;
  /// Sets faults of the upstreams whose number is below Count.
  void setFaults(std::size_t Count, const nlohmann::json &Faults);
  /// Lets the system run for Time.
  static void run(Millis Time);

  [[nodiscard]] harness::Cluster &cluster() noexcept { return World_; }
  [[nodiscard]] std::uint64_t seed() const noexcept { return Seed_; }

private:
  std::uint64_t Seed_;
  harness::Cluster World_;
};

/// Prints the record of one case: what the promises allow to be measured is
/// zero, and all requests are over. Extra adds figures and bounds.
bool report(const std::string &Case, const ProcessWorld &World,
            const harness::Verdict &Got,
            const std::function<void(Record &)> &Extra = nullptr);

} // namespace medlarmoor::bench

#endif // MEDLARMOOR_BENCH_REQUESTS_PROCESS_WORLD_HPP
