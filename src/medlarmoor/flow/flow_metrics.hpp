#ifndef MEDLARMOOR_FLOW_FLOW_METRICS_HPP
#define MEDLARMOOR_FLOW_FLOW_METRICS_HPP

#include <medlarmoor/flow/decision.hpp>
#include <medlarmoor/telemetry/registry.hpp>

#include <array>
#include <cstdint>

namespace medlarmoor::flow {

class Director;

/// Counts of the flow door. Packets are counted here and added to the shared
/// registry once a batch.
class FlowMetrics {
public:
  explicit FlowMetrics(telemetry::Registry &Metrics);

  void received(bool FromEntry) noexcept {
    ++(FromEntry ? FromEntries_ : FromFabric_).Pending_;
  }
  void count(const Decision &Made) noexcept;
  void dropped(DropReason Reason) noexcept {
    ++Drops_[static_cast<std::size_t>(Reason)].Pending_;
  }
  void unsent(std::size_t Packets) noexcept { Unsent_.Pending_ += Packets; }
  void messageLost() noexcept { ++MessagesLost_.Pending_; }
  /// Adds what has been counted to the registry.
  void publish() noexcept;
  /// Publishes the sizes of the tables.
  void publish(Director &From);

private:
  struct Tally {
    telemetry::Counter *Shared_ = nullptr;
    std::uint64_t Pending_ = 0;

    void publish() noexcept;
  };

  Tally FromFabric_;
  Tally FromEntries_;
  Tally ToUpstreams_;
  Tally ToEntries_;
  Tally Unsent_;
  Tally MessagesLost_;
  std::array<Tally, DropReasonCount> Drops_;
  std::array<Tally, RefuseReasonCount> Refusals_;
  telemetry::Gauge &Open_;
  telemetry::Gauge &Records_;
  telemetry::Gauge &Backlog_;
  telemetry::Gauge &Bytes_;
  telemetry::Gauge &Suspended_;
  telemetry::Counter &Ticks_;
};

} // namespace medlarmoor::flow

#endif // MEDLARMOOR_FLOW_FLOW_METRICS_HPP
