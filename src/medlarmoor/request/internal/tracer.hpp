#ifndef MEDLARMOOR_REQUEST_INTERNAL_TRACER_HPP
#define MEDLARMOOR_REQUEST_INTERNAL_TRACER_HPP

#include <medlarmoor/core/clock.hpp>
#include <medlarmoor/core/random.hpp>
#include <medlarmoor/telemetry/span_log.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace medlarmoor::request::internal {

/// One hop under way.
struct Hop {
  telemetry::TraceContext Context_;
  WallTime Start_;
};

/// Opens hops below the trace that a request carries and writes their spans.
class Tracer {
public:
  Tracer(telemetry::SpanLog &Spans, Clock Time, Random Source)
      : Spans_(Spans), Time_(std::move(Time)), Source_(Source) {}

  /// The hop of a request that arrived with the header Traceparent. Without
  /// one a new trace begins, of which one in a hundred is sampled.
  [[nodiscard]] Hop arrive(std::string_view Traceparent) {
    if (const auto Read = telemetry::TraceContext::parse(Traceparent))
      return {Read->child(Source_), Time_.wallNow()};
    const bool Sampled = Source_() % TracesPerSample == 0;
    return {telemetry::TraceContext::root(Source_, Sampled), Time_.wallNow()};
  }
  /// A hop below Above.
  [[nodiscard]] Hop below(const telemetry::TraceContext &Above) {
    return {Above.child(Source_), Time_.wallNow()};
  }
  /// Writes the span of a hop that ends now.
  void end(const Hop &Of, std::string Name, telemetry::SpanKind Kind,
           std::vector<telemetry::Field> Attributes, std::string Failure = {}) {
    Spans_.write({std::move(Name), Of.Context_, Kind, Of.Start_,
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
