#ifndef MEDLARMOOR_MEMBERSHIP_INTERNAL_CONTROL_METERS_HPP
#define MEDLARMOOR_MEMBERSHIP_INTERNAL_CONTROL_METERS_HPP

#include <medlarmoor/telemetry/registry.hpp>

#include <string>

namespace medlarmoor::membership::internal {

/// The metrics of the control thread.
struct ControlMeters {
  explicit ControlMeters(telemetry::Registry &Metrics)
      : Registry_(Metrics),
        BytesSent_(Metrics.counter("medlarmoor_control_bytes_sent_total")),
        BytesReceived_(
            Metrics.counter("medlarmoor_control_bytes_received_total")),
        MessagesSent_(
            Metrics.counter("medlarmoor_control_messages_sent_total")),
        MessagesReceived_(
            Metrics.counter("medlarmoor_control_messages_received_total")),
        MailboxFull_(Metrics.counter("medlarmoor_control_mailbox_full_total")),
        ListReads_(Metrics.counter("medlarmoor_membership_list_reads_total")),
        ListFailures_(
            Metrics.counter("medlarmoor_membership_list_failures_total")),
        LeaseLapses_(
            Metrics.counter("medlarmoor_membership_lease_lapses_total")),
        Ticks_(Metrics.counter("medlarmoor_thread_ticks_total",
                               "thread=\"control\"")),
        Members_(Metrics.gauge("medlarmoor_membership_members")),
        Disagreements_(
            Metrics.gauge("medlarmoor_membership_list_disagreements")),
        TickDelay_(Metrics.histogram("medlarmoor_control_tick_delay_seconds")) {
    // Registers all reasons, so that the first scrape already shows them.
    for (const char *Reason : {"short", "version", "signature", "decode", "own",
                               "clock", "incarnation", "replay"})
      refused(Reason).add(0);
  }

  /// Returns the counter of datagrams refused for Reason.
  [[nodiscard]] telemetry::Counter &refused(const std::string &Reason) const {
    return Registry_.counter("medlarmoor_control_refused_total",
                             "reason=\"" + Reason + "\"");
  }

  telemetry::Registry &Registry_;
  telemetry::Counter &BytesSent_;
  telemetry::Counter &BytesReceived_;
  telemetry::Counter &MessagesSent_;
  telemetry::Counter &MessagesReceived_;
  telemetry::Counter &MailboxFull_;
  telemetry::Counter &ListReads_;
  telemetry::Counter &ListFailures_;
  telemetry::Counter &LeaseLapses_;
  telemetry::Counter &Ticks_;
  telemetry::Gauge &Members_;
  telemetry::Gauge &Disagreements_;
  telemetry::Histogram &TickDelay_;
};

} // namespace medlarmoor::membership::internal

#endif // MEDLARMOOR_MEMBERSHIP_INTERNAL_CONTROL_METERS_HPP
