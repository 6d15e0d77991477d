#ifndef MEDLARMOOR_FLOW_FLOW_METRICS_HPP
#define MEDLARMOOR_FLOW_FLOW_METRICS_HPP

#include <medlarmoor/flow/decision.hpp>
#include <medlarmoor/telemetry/registry.hpp>

#include <array>
#include <cstdint>

namespace medlarmoor::flow {

class Director;

/// Metrics of the flow listener. Packets are counted locally; publish() adds
/// the counts to the shared registry, once for many packets.
class FlowMetrics {
public:
  explicit FlowMetrics(telemetry::Registry &Metrics);

  void countReceived(bool FromEntry) noexcept {
    ++(FromEntry ? FromEntries_ : FromFabric_).Pending_;
  }
  void countDecision(const Decision &Action) noexcept;
  void countDrop(DropReason Reason) noexcept {
    ++Drops_[static_cast<std::size_t>(Reason)].Pending_;
  }
  void countUnsent(std::size_t Packets) noexcept {
    Unsent_.Pending_ += Packets;
  }
  void countLostMessage() noexcept { ++MessagesLost_.Pending_; }
  /// Adds the counts since the last call to the registry.
  void publish() noexcept;
  /// Counts one tick of the flow thread, and publishes the sizes of the tables
  /// and the state of replication.
  void publishTick(Director &Source);

private:
  /// Counts that have not been added to the registry's counter yet.
  struct PendingCounter {
    telemetry::Counter *Registered_ = nullptr;
    std::uint64_t Pending_ = 0;

    void publish() noexcept;
  };

  PendingCounter FromFabric_;
  PendingCounter FromEntries_;
  PendingCounter ToUpstreams_;
  PendingCounter ToEntries_;
  PendingCounter Unsent_;
  PendingCounter MessagesLost_;
  std::array<PendingCounter, DropReasonCount> Drops_;
  std::array<PendingCounter, RefuseReasonCount> Refusals_;
  telemetry::Gauge &Open_;
  telemetry::Gauge &Records_;
  telemetry::Gauge &Backlog_;
  telemetry::Gauge &Bytes_;
  telemetry::Gauge &Suspended_;
  telemetry::Counter &Ticks_;
};

} // namespace medlarmoor::flow

#endif // MEDLARMOOR_FLOW_FLOW_METRICS_HPP
