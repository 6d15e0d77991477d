#ifndef MEDLARMOOR_MEMBERSHIP_INTERNAL_CONTROL_METERS_HPP
#define MEDLARMOOR_MEMBERSHIP_INTERNAL_CONTROL_METERS_HPP

#include <medlarmoor/telemetry/registry.hpp>

#include <string>

namespace medlarmoor::membership::internal {

/// The metrics of the control thread.
struct ControlMeters {
  explicit ControlMeters(telemetry::Registry &Metrics)
      : All_(Metrics),
        BytesOut_(Metrics.counter("medlarmoor_control_bytes_sent_total")),
        BytesIn_(Metrics.counter("medlarmoor_control_bytes_received_total")),
        Sent_(Metrics.counter("medlarmoor_control_messages_sent_total")),
        Received_(
            Metrics.counter("medlarmoor_control_messages_received_total")),
        MailboxFull_(Metrics.counter("medlarmoor_control_mailbox_full_total")),
        ListReads_(Metrics.counter("medlarmoor_membership_list_reads_total")),
        ListFailures_(
            Metrics.counter("medlarmoor_membership_list_failures_total")),
        Renewals_(Metrics.counter("medlarmoor_membership_lease_lapses_total")),
        Ticks_(Metrics.counter("medlarmoor_thread_ticks_total",
                               "thread=\"control\"")),
        Members_(Metrics.gauge("medlarmoor_membership_members")),
        Disagreements_(
            Metrics.gauge("medlarmoor_membership_list_disagreements")),
        TickDelay_(Metrics.histogram("medlarmoor_control_tick_delay_seconds")) {
    // All reasons are there from the first scrape.
    for (const char *Reason : {"short", "version", "signature", "decode", "own",
                               "clock", "incarnation", "replay"})
      refused(Reason).add(0);
  }

  /// Datagrams refused for that reason.
  [[nodiscard]] telemetry::Counter &refused(const std::string &Reason) const {
    return All_.counter("medlarmoor_control_refused_total",
                        "reason=\"" + Reason + "\"");
  }

  telemetry::Registry &All_;
  telemetry::Counter &BytesOut_;
  telemetry::Counter &BytesIn_;
  telemetry::Counter &Sent_;
  telemetry::Counter &Received_;
  telemetry::Counter &MailboxFull_;
  telemetry::Counter &ListReads_;
  telemetry::Counter &ListFailures_;
  telemetry::Counter &Renewals_;
  telemetry::Counter &Ticks_;
  telemetry::Gauge &Members_;
  telemetry::Gauge &Disagreements_;
  telemetry::Histogram &TickDelay_;
};

} // namespace medlarmoor::membership::internal

#endif // MEDLARMOOR_MEMBERSHIP_INTERNAL_CONTROL_METERS_HPP
