#ifndef MEDLARMOOR_REQUEST_INTERNAL_REQUEST_METRICS_HPP
#define MEDLARMOOR_REQUEST_INTERNAL_REQUEST_METRICS_HPP

#include <medlarmoor/telemetry/registry.hpp>

#include <string>

namespace medlarmoor::request::internal {

/// The metrics of the request thread.
struct RequestMetrics {
  explicit RequestMetrics(telemetry::Registry &Metrics)
      : Done_(Metrics.counter("medlarmoor_requests_total", "outcome=\"done\"")),
        NotRun_(Metrics.counter("medlarmoor_requests_total",
                                "outcome=\"not_run\"")),
        Unknown_(Metrics.counter("medlarmoor_requests_total",
                                 "outcome=\"unknown\"")),
        BadInput_(Metrics.counter("medlarmoor_requests_bad_input_total")),
        Forwarded_(Metrics.counter("medlarmoor_requests_forwarded_total")),
        Attempts_(Metrics.counter("medlarmoor_request_attempts_total")),
        MismatchedAnswers_(Metrics.counter("medlarmoor_answers_crossed_total")),
        TruncatedAnswers_(Metrics.counter("medlarmoor_answers_cut_total")),
        UnverifiedMessages_(
            Metrics.counter("medlarmoor_internal_unsigned_total")),
        Waiting_(Metrics.gauge("medlarmoor_requests_waiting")),
        LedgerKeys_(Metrics.gauge("medlarmoor_ledger_keys")),
        Ticks_(Metrics.counter("medlarmoor_thread_ticks_total",
                               "thread=\"requests\"")),
        AttemptTime_(Metrics.histogram("medlarmoor_request_attempt_seconds")) {}

  telemetry::Counter &Done_;
  telemetry::Counter &NotRun_;
  telemetry::Counter &Unknown_;
  telemetry::Counter &BadInput_;
  telemetry::Counter &Forwarded_;
  telemetry::Counter &Attempts_;
  /// Answers that carry the id of another attempt.
  telemetry::Counter &MismatchedAnswers_;
  telemetry::Counter &TruncatedAnswers_;
  /// Messages of other entries whose signature could not be verified.
  telemetry::Counter &UnverifiedMessages_;
  telemetry::Gauge &Waiting_;
  telemetry::Gauge &LedgerKeys_;
  telemetry::Counter &Ticks_;
  telemetry::Histogram &AttemptTime_;
};

} // namespace medlarmoor::request::internal

#endif // MEDLARMOOR_REQUEST_INTERNAL_REQUEST_METRICS_HPP
