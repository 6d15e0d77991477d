#ifndef MEDLARMOOR_TELEMETRY_TRACE_CONTEXT_HPP
#define MEDLARMOOR_TELEMETRY_TRACE_CONTEXT_HPP

#include <medlarmoor/core/random.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace medlarmoor::telemetry {

/// The place of one hop in a trace, as the W3C header traceparent carries it.
class TraceContext {
public:
  /// Reads a traceparent of version 00; nothing for any other text and for
  /// ids that are all zero.
  [[nodiscard]] static std::optional<TraceContext> parse(std::string_view Text);
  /// The first hop of a new trace.
  [[nodiscard]] static TraceContext root(Random &Source, bool Sampled);

  /// A further hop of this trace, below this one.
  [[nodiscard]] TraceContext child(Random &Source) const;
  /// The value of the header traceparent.
  [[nodiscard]] std::string text() const;

  /// 32 hexadecimal digits.
  [[nodiscard]] std::string traceId() const;
  /// 16 hexadecimal digits.
  [[nodiscard]] std::string spanId() const;
  /// 16 hexadecimal digits; empty for the first hop.
  [[nodiscard]] std::string parentId() const;
  /// Whether the spans of this trace are written.
  [[nodiscard]] bool sampled() const noexcept { return Sampled_; }

  friend bool operator==(const TraceContext &, const TraceContext &) = default;

private:
  std::uint64_t TraceHigh_ = 0;
  std::uint64_t TraceLow_ = 0;
  std::uint64_t Span_ = 0;
  std::uint64_t Parent_ = 0;
  bool Sampled_ = false;
};

} // namespace medlarmoor::telemetry

#endif // MEDLARMOOR_TELEMETRY_TRACE_CONTEXT_HPP
