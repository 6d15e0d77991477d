#include <medlarmoor/core/findings.hpp>
#include <medlarmoor/request/internal/responses.hpp>

#include <medlarmoor/net/http_pages.hpp>

#include <nlohmann/json.hpp>

namespace medlarmoor::request::internal {

namespace {

using Json = nlohmann::ordered_json;

constexpr unsigned StatusMisdirected = 421;
constexpr unsigned StatusGone = 410;
constexpr unsigned StatusNotRun = 503;
constexpr unsigned StatusUnknown = 504;

unsigned statusOf(const Verdict &Result) {
  if (Result.NotDispatcher_)
    return StatusMisdirected;
  if (Result.Outcome_ == Outcome::Done)
    return StatusGone;
  return Result.Outcome_ == Outcome::NotRun ? StatusNotRun : StatusUnknown;
}

Json bodyOf(const Verdict &Result) {
  return {{"outcome", text(Result.Outcome_)}, {"reason", Result.Reason_}};
}

void setOutcome(net::HttpResponse &Response, Outcome Result) {
  Response.Headers_.add("Medlarmoor-Outcome", std::string(text(Result)));
}

} // namespace

net::HttpResponse jsonResponse(unsigned Status, std::string Body) {
  return net::jsonPage(std::move(Body) + "\n", Status);
}

net::HttpResponse responseTo(const Verdict &Result) {
  if (Result.Outcome_ == Outcome::Done && Result.Answer_) {
    net::HttpResponse Response = Result.Answer_->Response_;
    setOutcome(Response, Result.Outcome_);
    return Response;
  }
  Json Body = bodyOf(Result);
  Body["retry"] = Result.Retryable_;
  net::HttpResponse Response = jsonResponse(statusOf(Result), Body.dump());
  setOutcome(Response, Result.Outcome_);
  return Response;
}

net::HttpResponse lookUpResponse(const Verdict &Result) {
  net::HttpResponse Response = jsonResponse(200, bodyOf(Result).dump());
  setOutcome(Response, Result.Outcome_);
  return Response;
}

net::HttpResponse findingsResponse(unsigned Status, const Findings &Found,
                                   Outcome Result) {
  Json Body;
  Body["outcome"] = text(Result);
  Body["findings"] = Json::array();
  for (const Finding &Item : Found.items())
    Body["findings"].push_back({{"at", Item.Place_.File_},
                                {"message", Item.Message_},
                                {"hint", Item.Hint_}});
  net::HttpResponse Response = jsonResponse(Status, Body.dump());
  setOutcome(Response, Result);
  return Response;
}

} // namespace medlarmoor::request::internal
