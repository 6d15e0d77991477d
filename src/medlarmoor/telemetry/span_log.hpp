#ifndef MEDLARMOOR_TELEMETRY_SPAN_LOG_HPP
#define MEDLARMOOR_TELEMETRY_SPAN_LOG_HPP

#include <medlarmoor/telemetry/span.hpp>

#include <cstdio>
#include <mutex>
#include <string>

namespace medlarmoor::telemetry {

/// Writes one line of OTLP-shaped JSON (a resourceSpans object) for each span.
/// Safe to use from all threads.
class SpanLog {
public:
  /// Service is the resource attribute service.name. The lines go to File, or
  /// to standard error when File is empty or cannot be opened.
  explicit SpanLog(std::string Service, const std::string &File = {});
  ~SpanLog();
  SpanLog(const SpanLog &) = delete;
  SpanLog &operator=(const SpanLog &) = delete;

  /// Writes Each when its trace is sampled.
  void write(const Span &Each);

private:
  std::string Service_;
  std::FILE *Out_;
  std::mutex Lock_;
};

/// The line for Each, without the line end.
[[nodiscard]] std::string otlpText(const Span &Each,
                                   const std::string &Service);

} // namespace medlarmoor::telemetry

#endif // MEDLARMOOR_TELEMETRY_SPAN_LOG_HPP
