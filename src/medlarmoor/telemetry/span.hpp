#ifndef MEDLARMOOR_TELEMETRY_SPAN_HPP
#define MEDLARMOOR_TELEMETRY_SPAN_HPP

#include <medlarmoor/core/time.hpp>
#include <medlarmoor/telemetry/field.hpp>
#include <medlarmoor/telemetry/trace_context.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace medlarmoor::telemetry {

/// Which end of a hop a span describes; the numbers are those of OTLP.
enum class SpanKind : std::uint8_t { Internal = 1, Server = 2, Client = 3 };

/// One hop of a request or of a sampled flow.
struct Span {
  /// For example "request.forward"; listed in docs/metrics.md.
  std::string Name_;
  TraceContext Context_;
  SpanKind Kind_ = SpanKind::Internal;
  WallTime Start_;
  WallTime End_;
  std::vector<Field> Attributes_;
  /// Empty when the hop succeeded.
  std::string Error_;
};

} // namespace medlarmoor::telemetry

#endif // MEDLARMOOR_TELEMETRY_SPAN_HPP
