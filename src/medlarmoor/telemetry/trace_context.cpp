#include <medlarmoor/telemetry/trace_context.hpp>

#include <charconv>

namespace medlarmoor::telemetry {

namespace {

// "00-" trace id "-" span id "-" flags.
constexpr std::size_t TraceAt = 3;
constexpr std::size_t SpanAt = 36;
constexpr std::size_t FlagsAt = 53;
constexpr std::size_t TextBytes = 55;
constexpr std::size_t WordDigits = 16;
constexpr std::uint64_t SampledFlag = 1;

std::string hex(std::uint64_t Value) {
  std::string Out(WordDigits, '0');
  for (std::size_t I = WordDigits; I > 0; --I) {
    Out[I - 1] = "0123456789abcdef"[Value & 0xFU];
    Value >>= 4U;
  }
  return Out;
}

/// Lower case hexadecimal digits only, as the standard asks.
std::optional<std::uint64_t> readHex(std::string_view Text) {
  if (Text.find_first_not_of("0123456789abcdef") != std::string_view::npos)
    return std::nullopt;
  std::uint64_t Value = 0;
  std::from_chars(Text.data(), Text.data() + Text.size(), Value, 16);
  return Value;
}

std::uint64_t draw(Random &Source) {
  for (;;)
    if (const std::uint64_t Value = Source(); Value != 0)
      return Value;
}

} // namespace

std::optional<TraceContext> TraceContext::parse(std::string_view Text) {
  if (Text.size() != TextBytes || Text.substr(0, TraceAt) != "00-" ||
      Text[SpanAt - 1] != '-' || Text[FlagsAt - 1] != '-')
    return std::nullopt;
  const auto High = readHex(Text.substr(TraceAt, WordDigits));
  const auto Low = readHex(Text.substr(TraceAt + WordDigits, WordDigits));
  const auto Span = readHex(Text.substr(SpanAt, WordDigits));
  const auto Flags = readHex(Text.substr(FlagsAt, 2));
  if (!High || !Low || !Span || !Flags)
    return std::nullopt;
  if ((*High == 0 && *Low == 0) || *Span == 0)
    return std::nullopt;
  TraceContext Out;
  Out.TraceHigh_ = *High;
  Out.TraceLow_ = *Low;
  Out.Span_ = *Span;
  Out.Sampled_ = (*Flags & SampledFlag) != 0;
  return Out;
}

TraceContext TraceContext::root(Random &Source, bool Sampled) {
  TraceContext Out;
  Out.TraceHigh_ = draw(Source);
  Out.TraceLow_ = draw(Source);
  Out.Span_ = draw(Source);
  Out.Sampled_ = Sampled;
  return Out;
}

TraceContext TraceContext::child(Random &Source) const {
  TraceContext Out = *this;
  Out.Parent_ = Span_;
  Out.Span_ = draw(Source);
  return Out;
}

std::string TraceContext::text() const {
  return "00-" + traceId() + "-" + spanId() + (Sampled_ ? "-01" : "-00");
}

std::string TraceContext::traceId() const {
  return hex(TraceHigh_) + hex(TraceLow_);
}

std::string TraceContext::spanId() const { return hex(Span_); }

std::string TraceContext::parentId() const {
  return Parent_ == 0 ? std::string() : hex(Parent_);
}

} // namespace medlarmoor::telemetry
