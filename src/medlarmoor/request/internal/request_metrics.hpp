#ifndef MEDLARMOOR_REQUEST_INTERNAL_REQUEST_METRICS_HPP
#define MEDLARMOOR_REQUEST_INTERNAL_REQUEST_METRICS_HPP

#include <medlarmoor/telemetry/registry.hpp>

#include <string>

namespace medlarmoor::request::internal {

/// The metrics of the request thread.
struct RequestMetrics {
  explicit RequestMetrics(telemetry::Registry &All)
      : Done_(All.counter("medlarmoor_requests_total", "outcome=\"done\"")),
        NotRun_(
            All.counter("medlarmoor_requests_total", "outcome=\"not_run\"")),
        Unknown_(
            All.counter("medlarmoor_requests_total", "outcome=\"unknown\"")),
        BadInput_(All.counter("medlarmoor_requests_bad_input_total")),
        Forwarded_(All.counter("medlarmoor_requests_forwarded_total")),
        Attempts_(All.counter("medlarmoor_request_attempts_total")),
        Crossed_(All.counter("medlarmoor_answers_crossed_total")),
        Cut_(All.counter("medlarmoor_answers_cut_total")),
        Unsigned_(All.counter("medlarmoor_internal_unsigned_total")),
        Waiting_(All.gauge("medlarmoor_requests_waiting")),
        LedgerKeys_(All.gauge("medlarmoor_ledger_keys")),
        Ticks_(All.counter("medlarmoor_thread_ticks_total",
                           "thread=\"requests\"")),
        AttemptTime_(All.histogram("medlarmoor_request_attempt_seconds")) {}

  telemetry::Counter &Done_;
  telemetry::Counter &NotRun_;
  telemetry::Counter &Unknown_;
  telemetry::Counter &BadInput_;
  telemetry::Counter &Forwarded_;
  telemetry::Counter &Attempts_;
  telemetry::Counter &Crossed_;
  telemetry::Counter &Cut_;
  telemetry::Counter &Unsigned_;
  telemetry::Gauge &Waiting_;
  telemetry::Gauge &LedgerKeys_;
  telemetry::Counter &Ticks_;
  telemetry::Histogram &AttemptTime_;
};

} // namespace medlarmoor::request::internal

#endif // MEDLARMOOR_REQUEST_INTERNAL_REQUEST_METRICS_HPP
