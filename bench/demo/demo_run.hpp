#ifndef MEDLARMOOR_BENCH_DEMO_DEMO_RUN_HPP
#define MEDLARMOOR_BENCH_DEMO_DEMO_RUN_HPP

#include <bench/options.hpp>
#include <bench/world/load_plan.hpp>
#include <bench/world/promise.hpp>
#include <bench/world/sampler.hpp>
#include <harness/cluster.hpp>
#include <harness/verdict.hpp>

#include <string>
#include <vector>

namespace medlarmoor::bench {

/// One run of the demo: Muscat's services in one failure domain under flows
/// and requests while an upstream drains, an entry is replaced and the
/// document changes.
class DemoRun {
public:
  DemoRun(harness::Cluster &World, const Options &Asked);

  /// Runs everything and prints the table and the record. 0 when every promise
  /// held, 1 when one did not or the system did not start.
  [[nodiscard]] int run();

private:
  bool startSystem();
  bool drainUpstream();
  bool replaceEntry();
  bool changeDocument();
  /// Applies the document and waits until it is in force everywhere.
  bool applyAndWait(const char *What);
  void waitForShare(double Share);
  void note(const std::string &Line) const;
  bool failed(const std::string &Why);
  [[nodiscard]] std::uint64_t newWork(const std::string &Upstream) const;
  [[nodiscard]] std::uint64_t controlBytes() const;
  [[nodiscard]] std::vector<Promise>
  promises(const harness::Verdict &Seen) const;
  [[nodiscard]] int report(const harness::Verdict &Seen);

  harness::Cluster &World_;
  Options Asked_;
  LoadPlan Load_;
  Sampler Sampler_;
  TimePoint Start_;
  double SlowestInForce_ = 0;
  std::string Drained_;
  TimePoint DrainSettled_;
  std::uint64_t WorkAtDrain_ = 0;
  std::uint64_t LateWork_ = 0;
  int RetireCode_ = -1;
  std::uint64_t ControlBytes_ = 0;
  double Elapsed_ = 0;
  bool AllOver_ = false;
};

} // namespace medlarmoor::bench

#endif // MEDLARMOOR_BENCH_DEMO_DEMO_RUN_HPP
