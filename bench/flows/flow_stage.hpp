#ifndef MEDLARMOOR_BENCH_FLOWS_FLOW_STAGE_HPP
#define MEDLARMOOR_BENCH_FLOWS_FLOW_STAGE_HPP

#include <bench/flows/baseline.hpp>
#include <bench/flows/flow_policy.hpp>

#include <harness/fleet_membership.hpp>
#include <harness/sprayed_load.hpp>

#include <cstdint>
#include <memory>

namespace medlarmoor::bench {

/// Five entries and two services under a load, as the offices have them: the
/// place where a case happens.
class FlowStage {
public:
  FlowStage(FlowPolicy Policy, std::uint64_t Seed, double Epsilon);

  [[nodiscard]] harness::FlowFleet &fleet() noexcept { return Fleet_; }
  [[nodiscard]] harness::FleetMembership &members() noexcept {
    return Members_;
  }
  [[nodiscard]] harness::SprayedLoad &load() noexcept { return Load_; }
  [[nodiscard]] harness::DocumentBuilder &document() noexcept { return Doc_; }
  [[nodiscard]] Random &random() noexcept { return Random_; }

  /// Gives the document to all entries; to each at its own moment within
  /// Apart.
  void distribute(Nanos Apart = Nanos(0));
  /// Tells the first upstream to leave.
  void drainFirst(Nanos Apart = Nanos(0));
  /// An old entry is replaced: a new one comes, then the old one leaves.
  void replace(std::size_t Entry);
  void run(Nanos Span);

  /// Worst imbalance of the first service since the last call.
  [[nodiscard]] double takeImbalance();
  [[nodiscard]] std::uint64_t controlBytes() const;

private:
  FlowPolicy Policy_;
  Random Random_;
  harness::FlowFleet Fleet_;
  harness::FleetMembership Members_;
  std::unique_ptr<Baseline> Baseline_;
  harness::SprayedLoad Load_;
  harness::DocumentBuilder Doc_;
  double Imbalance_ = 1;
  TimePoint MeasuredAt_;
};

} // namespace medlarmoor::bench

#endif // MEDLARMOOR_BENCH_FLOWS_FLOW_STAGE_HPP
