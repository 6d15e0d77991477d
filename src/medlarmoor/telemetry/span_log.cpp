#include <medlarmoor/telemetry/span_log.hpp>

#include <nlohmann/json.hpp>

namespace medlarmoor::telemetry {

namespace {

using Json = nlohmann::ordered_json;

constexpr int StatusOk = 1;
constexpr int StatusError = 2;

Json attribute(const std::string &Key, const std::string &Value) {
  return {{"key", Key}, {"value", {{"stringValue", Value}}}};
}

std::string unixNanos(WallTime When) {
  return std::to_string(
      std::chrono::duration_cast<Nanos>(When.time_since_epoch()).count());
}

Json spanObject(const Span &Each) {
  Json Out;
  Out["traceId"] = Each.Context_.traceId();
  Out["spanId"] = Each.Context_.spanId();
  if (const std::string Parent = Each.Context_.parentId(); !Parent.empty())
    Out["parentSpanId"] = Parent;
  Out["name"] = Each.Name_;
  Out["kind"] = static_cast<int>(Each.Kind_);
  Out["startTimeUnixNano"] = unixNanos(Each.Start_);
  Out["endTimeUnixNano"] = unixNanos(Each.End_);
  Out["attributes"] = Json::array();
  for (const Field &Pair : Each.Attributes_)
    Out["attributes"].push_back(attribute(Pair.Key_, Pair.Value_));
  if (Each.Error_.empty())
    Out["status"] = {{"code", StatusOk}};
  else
    Out["status"] = {{"code", StatusError}, {"message", Each.Error_}};
  return Out;
}

} // namespace

std::string otlpText(const Span &Each, const std::string &Service) {
  Json Resource;
  Resource["attributes"] = Json::array({attribute("service.name", Service)});
  Json Scope;
  Scope["scope"] = {{"name", "medlarmoor"}};
  Scope["spans"] = Json::array({spanObject(Each)});
  Json Group;
  Group["resource"] = std::move(Resource);
  Group["scopeSpans"] = Json::array({std::move(Scope)});
  Json Out;
  Out["resourceSpans"] = Json::array({std::move(Group)});
  return Out.dump(-1, ' ', false, Json::error_handler_t::replace);
}

SpanLog::SpanLog(std::string Service, const std::string &File)
    : Service_(std::move(Service)),
      Out_(File.empty() ? stderr : std::fopen(File.c_str(), "ae")) {
  if (!Out_)
    Out_ = stderr;
}

SpanLog::~SpanLog() {
  if (Out_ != stderr)
    std::fclose(Out_);
}

void SpanLog::write(const Span &Each) {
  if (!Each.Context_.sampled())
    return;
  const std::string Line = otlpText(Each, Service_) + "\n";
  const std::lock_guard Guard(Lock_);
  std::fwrite(Line.data(), 1, Line.size(), Out_);
  std::fflush(Out_);
}

} // namespace medlarmoor::telemetry
