#include <medlarmoor/telemetry/span_log.hpp>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace medlarmoor;
using namespace medlarmoor::telemetry;

namespace {

const std::string Parent =
    "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";

} // namespace

TEST_CASE("a traceparent is read, written and handed on") {
  const auto Context = TraceContext::parse(Parent);
  REQUIRE(Context);
  CHECK(Context->text() == Parent);
  Random Source(1);
  const TraceContext Child = Context->child(Source);
  CHECK(Child.traceId() == "0af7651916cd43dd8448eb211c80319c");
  CHECK(Child.parentId() == "b7ad6b7169203331");
  CHECK(Child.spanId() != Context->spanId());
  CHECK(TraceContext::parse(Child.text())->spanId() == Child.spanId());
}

TEST_CASE("other texts are no traceparent") {
  for (std::size_t Size = 0; Size < Parent.size(); ++Size)
    CHECK_FALSE(TraceContext::parse(Parent.substr(0, Size)));
  CHECK_FALSE(TraceContext::parse(
      "00-0AF7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"));
  CHECK_FALSE(TraceContext::parse(
      "00-00000000000000000000000000000000-b7ad6b7169203331-01"));
  CHECK_FALSE(TraceContext::parse(
      "00-0af7651916cd43dd8448eb211c80319c-0000000000000000-01"));
  CHECK_FALSE(TraceContext::parse(
      "01-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"));
}

TEST_CASE("a span is a line of OTLP-shaped JSON") {
  Random Source(1);
  Span Each{"request.forward",
            TraceContext::parse(Parent)->child(Source),
            SpanKind::Client,
            WallTime(Millis(1000)),
            WallTime(Millis(1005)),
            {{"service", "archivo"}},
            "timeout"};
  const auto Line = nlohmann::json::parse(otlpText(Each, "medlarmoord"));
  const auto &Group = Line["resourceSpans"][0];
  CHECK(Group["resource"]["attributes"][0]["value"]["stringValue"] ==
        "medlarmoord");
  const auto &Out = Group["scopeSpans"][0]["spans"][0];
  CHECK(Out["traceId"] == "0af7651916cd43dd8448eb211c80319c");
  CHECK(Out["parentSpanId"] == "b7ad6b7169203331");
  CHECK(Out["kind"] == 3);
  CHECK(Out["startTimeUnixNano"] == "1000000000");
  CHECK(Out["endTimeUnixNano"] == "1005000000");
  CHECK(Out["attributes"][0]["key"] == "service");
  CHECK(Out["status"]["message"] == "timeout");
}
