#include <medlarmoor/core/findings.hpp>
#include <medlarmoor/request/internal/responses.hpp>

#include <medlarmoor/net/http_pages.hpp>

#include <nlohmann/json.hpp>

namespace medlarmoor::request::internal {

namespace {

using Json = nlohmann::ordered_json;

constexpr unsigned StatusMoved = 421;
constexpr unsigned StatusGone = 410;
constexpr unsigned StatusNotRun = 503;
constexpr unsigned StatusUnknown = 504;

unsigned statusOf(const Verdict &Of) {
  if (Of.Moved_)
    return StatusMoved;
  if (Of.Outcome_ == Outcome::Done)
    return StatusGone;
  return Of.Outcome_ == Outcome::NotRun ? StatusNotRun : StatusUnknown;
}

Json bodyOf(const Verdict &Of) {
  return {{"outcome", text(Of.Outcome_)}, {"reason", Of.Reason_}};
}

void putOutcome(net::HttpResponse &Into, Outcome Of) {
  Into.Headers_.add("Medlarmoor-Outcome", std::string(text(Of)));
}

} // namespace

net::HttpResponse jsonResponse(unsigned Status, std::string Body) {
  return net::jsonPage(std::move(Body) + "\n", Status);
}

net::HttpResponse responseTo(const Verdict &Of) {
  if (Of.Outcome_ == Outcome::Done && Of.Answer_) {
    net::HttpResponse Out = Of.Answer_->Response_;
    putOutcome(Out, Of.Outcome_);
    return Out;
  }
  Json Body = bodyOf(Of);
  Body["retry"] = Of.Retry_;
  net::HttpResponse Out = jsonResponse(statusOf(Of), Body.dump());
  putOutcome(Out, Of.Outcome_);
  return Out;
}

net::HttpResponse lookUpResponse(const Verdict &Of) {
  net::HttpResponse Out = jsonResponse(200, bodyOf(Of).dump());
  putOutcome(Out, Of.Outcome_);
  return Out;
}

net::HttpResponse findingsResponse(unsigned Status, const Findings &All,
                                   Outcome Of) {
  Json Body;
  Body["outcome"] = text(Of);
  Body["findings"] = Json::array();
  for (const Finding &Each : All.items())
    Body["findings"].push_back({{"at", Each.Place_.File_},
                                {"message", Each.Message_},
                                {"hint", Each.Hint_}});
  net::HttpResponse Out = jsonResponse(Status, Body.dump());
  putOutcome(Out, Of);
  return Out;
}

} // namespace medlarmoor::request::internal
