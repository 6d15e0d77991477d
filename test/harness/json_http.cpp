#include <harness/json_http.hpp>

#include <medlarmoor/net/http_client.hpp>

namespace medlarmoor::harness {

namespace {

constexpr unsigned SuccessFrom = 200;
constexpr unsigned SuccessBefore = 300;

} // namespace

net::HttpResponse jsonResponse(unsigned Status, const nlohmann::json &Body) {
  net::HttpResponse Out;
  Out.Status_ = Status;
  Out.Headers_.add("Content-Type", "application/json");
  Out.Body_ = Body.dump();
  return Out;
}

nlohmann::json jsonBody(const net::HttpRequest &Request) {
  return nlohmann::json::parse(Request.Body_, nullptr, false);
}

std::optional<nlohmann::json> callJson(Endpoint Where, std::string Method,
                                       std::string Target,
                                       const nlohmann::json &Body,
                                       Millis Timeout) {
  net::HttpRequest Request{
      std::move(Method), std::move(Target), {}, {}, Endpoint()};
  if (!Body.is_null())
    Request.Body_ = Body.dump();
  std::string Reason;
  const std::optional<net::HttpResponse> Response =
      net::httpCall(Where, std::move(Request), Timeout, Reason);
  if (!Response || Response->Status_ < SuccessFrom ||
      Response->Status_ >= SuccessBefore)
    return std::nullopt;
  nlohmann::json Out = nlohmann::json::parse(Response->Body_, nullptr, false);
  if (Out.is_discarded())
    return std::nullopt;
  return Out;
}

} // namespace medlarmoor::harness
