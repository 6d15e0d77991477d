#include <medlarmoor/core/overloaded.hpp>
#include <medlarmoor/flow/director.hpp>
#include <medlarmoor/flow/flow_metrics.hpp>

#include <string>

namespace medlarmoor::flow {

namespace {

std::string label(const char *Key, const char *Value) {
  return std::string(Key) + "=\"" + Value + "\"";
}

} // namespace

FlowMetrics::FlowMetrics(telemetry::Registry &Metrics)
    : Open_(Metrics.gauge("medlarmoor_flow_open")),
      Records_(Metrics.gauge("medlarmoor_flow_records")),
      Backlog_(Metrics.gauge("medlarmoor_flow_replication_backlog")),
      Bytes_(Metrics.gauge("medlarmoor_flow_replication_bytes")),
      Suspended_(Metrics.gauge("medlarmoor_flow_suspended")),
      Ticks_(
          Metrics.counter("medlarmoor_thread_ticks_total", "thread=\"flow\"")) {
  const auto Counter = [&Metrics](const char *Name, const std::string &Labels) {
    return PendingCounter{&Metrics.counter(Name, Labels)};
  };
  constexpr const char *Received = "medlarmoor_flow_received_total";
  constexpr const char *Sent = "medlarmoor_flow_sent_total";
  FromFabric_ = Counter(Received, label("from", "fabric"));
  FromEntries_ = Counter(Received, label("from", "entry"));
  ToUpstreams_ = Counter(Sent, label("to", "upstream"));
  ToEntries_ = Counter(Sent, label("to", "entry"));
  Unsent_ = Counter("medlarmoor_flow_unsent_total", {});
  MessagesLost_ = Counter("medlarmoor_flow_messages_lost_total", {});
  for (std::size_t I = 0; I < DropReasonCount; ++I)
    Drops_[I] = Counter("medlarmoor_flow_dropped_total",
                        label("reason", name(static_cast<DropReason>(I))));
  for (std::size_t I = 0; I < RefuseReasonCount; ++I)
    Refusals_[I] = Counter("medlarmoor_flow_refused_total",
                           label("reason", name(static_cast<RefuseReason>(I))));
}

void FlowMetrics::countDecision(const Decision &Action) noexcept {
  std::visit(
      Overloaded{
          [this](const ToUpstream &) { ++ToUpstreams_.Pending_; },
          [this](const ToEntry &) { ++ToEntries_.Pending_; },
          [this](const Refuse &Refusal) {
            ++Refusals_[static_cast<std::size_t>(Refusal.Reason_)].Pending_;
          },
          [this](const Drop &Dropped) { countDrop(Dropped.Reason_); },
      },
      Action);
}

void FlowMetrics::PendingCounter::publish() noexcept {
  if (Pending_ == 0)
    return;
  Registered_->add(Pending_);
  Pending_ = 0;
}

void FlowMetrics::publish() noexcept {
  FromFabric_.publish();
  FromEntries_.publish();
  ToUpstreams_.publish();
  ToEntries_.publish();
  Unsent_.publish();
  MessagesLost_.publish();
  for (PendingCounter &DropCounter : Drops_)
    DropCounter.publish();
  for (PendingCounter &RefusalCounter : Refusals_)
    RefusalCounter.publish();
}

void FlowMetrics::publishTick(Director &Source) {
  Ticks_.add();
  const auto Signed = [](std::uint64_t Value) {
    return static_cast<std::int64_t>(Value);
  };
  Open_.set(Signed(Source.tracker().openFlows()));
  Records_.set(Signed(Source.tracker().table().size()));
  Backlog_.set(Signed(Source.replicator().backlog()));
  Bytes_.set(Signed(Source.replicator().bytesSent()));
  Suspended_.set(Source.suspended() ? 1 : 0);
}

} // namespace medlarmoor::flow
