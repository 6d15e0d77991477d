#ifndef MEDLARMOOR_REQUEST_INTERNAL_TRACER_HPP
#define MEDLARMOOR_REQUEST_INTERNAL_TRACER_HPP

#include <medlarmoor/core/clock.hpp>
#include <medlarmoor/core/random.hpp>
#include <medlarmoor/telemetry/span_log.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace medlarmoor::request::internal {

/// A span that has started and not ended yet.
struct OpenSpan {
  telemetry::TraceContext Context_;
  WallTime Start_;
};

/// Starts spans in the trace that a request carries and writes them when they
/// end.
class Tracer {
public:
  Tracer(telemetry::SpanLog &Spans, Clock Time, Random Source)
      : Spans_(Spans), Time_(std::move(Time)), Source_(Source) {}

  /// Starts the span of a request that arrived with the header Traceparent. If
  /// that is missing or malformed, starts a new trace; one in 100 of these is
  /// sampled.
  [[nodiscard]] OpenSpan startFromHeader(std::string_view Traceparent) {
    if (const auto Parent = telemetry::TraceContext::parse(Traceparent))
      return {Parent->child(Source_), Time_.wallNow()};
    const bool Sampled = Source_() % TracesPerSample == 0;
    return {telemetry::TraceContext::root(Source_, Sampled), Time_.wallNow()};
  }
  /// Starts a child span of Parent.
  [[nodiscard]] OpenSpan startChild(const telemetry::TraceContext &Parent) {
    return {Parent.child(Source_), Time_.wallNow()};
  }
  /// Ends Ending now and writes it. Failure is empty if the span succeeded.
  void end(const OpenSpan &Ending, std::string Name, telemetry::SpanKind Kind,
           std::vector<telemetry::Field> Attributes, std::string Failure = {}) {
    Spans_.write({std::move(Name), Ending.Context_, Kind, Ending.Start_,
                  Time_.wallNow(), std::move(Attributes), std::move(Failure)});
  }

private:
  static constexpr std::uint64_t TracesPerSample = 100;

  telemetry::SpanLog &Spans_;
  Clock Time_;
  Random Source_;
};

} // namespace medlarmoor::request::internal

#endif // MEDLARMOOR_REQUEST_INTERNAL_TRACER_HPP
