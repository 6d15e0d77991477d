#include <medlarmoor/platform/client.hpp>
#include <medlarmoor/platform/internal_answers.hpp>
#include <medlarmoor/platform/internal_traffic.hpp>
#include <medlarmoor/telemetry/registry.hpp>

#include <algorithm>

namespace medlarmoor::platform {

using net::HttpResponse;

namespace {

constexpr const char *CallsMetric = "medlarmoor_platform_calls_total";

std::string objectPath(const std::string &Kind, const std::string &Name) {
  return "/v1/objects/" + Kind + "/" + Name;
}

} // namespace

Client::Client(boost::asio::io_context &Io, Endpoint Server, Ipv4 Source,
               Millis Timeout, telemetry::Registry &Metrics)
    : Http_(Io, Source), Server_(Server), Timeout_(Timeout),
      Reads_(Metrics.counter(CallsMetric, "call=\"read\"")),
      Writes_(Metrics.counter(CallsMetric, "call=\"write\"")),
      Lists_(Metrics.counter(CallsMetric, "call=\"list\"")),
      Watches_(Metrics.counter(CallsMetric, "call=\"watch\"")),
      Bytes_(Metrics.counter("medlarmoor_platform_bytes_total")) {}

void Client::send(std::string Method, std::string Target, std::string Body,
                  Millis Timeout, net::HttpDone Done) {
  net::HttpRequest Request;
  Request.Method_ = std::move(Method);
  Request.Target_ = std::move(Target);
  Request.Body_ = std::move(Body);
  if (!Request.Body_.empty())
    Request.Headers_.add("Content-Type", "application/json");
  Bytes_.add(internal::ExchangeBytes + Request.Body_.size());
  Http_.send(Server_, std::move(Request), Timeout,
             [this, Done = std::move(Done)](std::optional<HttpResponse> Answer,
                                            std::string Reason) {
               if (Answer) {
                 Bytes_.add(Answer->Body_.size());
                 Epoch_ = std::max(Epoch_, internal::readEpoch(*Answer));
               }
               Done(std::move(Answer), std::move(Reason));
             });
}

void Client::get(const std::string &Kind, const std::string &Name,
                 std::function<void(GetResult)> Done) {
  Reads_.add();
  send("GET", objectPath(Kind, Name), {}, Timeout_,
       [Done = std::move(Done)](std::optional<HttpResponse> Answer,
                                std::string Reason) {
         Done(internal::toGetResult(Answer, Reason));
       });
}

void Client::put(const std::string &Kind, const std::string &Name,
                 std::string Value, std::optional<std::uint64_t> IfVersion,
                 std::function<void(PutResult)> Done) {
  Writes_.add();
  std::string Target = objectPath(Kind, Name);
  if (IfVersion)
    Target += "?ifVersion=" + std::to_string(*IfVersion);
  send("PUT", std::move(Target), std::move(Value), Timeout_,
       [Done = std::move(Done)](std::optional<HttpResponse> Answer,
                                std::string Reason) {
         Done(internal::toPutResult(Answer, Reason));
       });
}

void Client::remove(const std::string &Kind, const std::string &Name,
                    std::uint64_t IfVersion,
                    std::function<void(RemoveResult)> Done) {
  Writes_.add();
  send("DELETE",
       objectPath(Kind, Name) + "?ifVersion=" + std::to_string(IfVersion), {},
       Timeout_,
       [Done = std::move(Done)](std::optional<HttpResponse> Answer,
                                std::string Reason) {
         Done(internal::toRemoveResult(Answer, Reason));
       });
}

void Client::list(const std::string &Kind, const std::string &Prefix,
                  std::function<void(ListResult)> Done) {
  Lists_.add();
  send("GET", "/v1/objects/" + Kind + "?prefix=" + Prefix, {}, Timeout_,
       [Done = std::move(Done)](std::optional<HttpResponse> Answer,
                                std::string Reason) {
         Done(internal::toListResult(Answer, Reason));
       });
}

void Client::watch(const std::string &Kind, const std::string &Prefix,
                   std::uint64_t After, Millis Wait,
                   std::function<void(WatchResult)> Done) {
  Watches_.add();
  std::string Target = "/v1/watch/" + Kind + "?after=" + std::to_string(After) +
                       "&timeoutMs=" + std::to_string(Wait.count()) +
                       "&prefix=" + Prefix;
  send("GET", std::move(Target), {}, Wait + Timeout_,
       [Done = std::move(Done)](std::optional<HttpResponse> Answer,
                                std::string Reason) {
         Done(internal::toWatchResult(Answer, Reason));
       });
}

void Client::instances(const std::optional<DomainName> &Domain,
                       std::function<void(InstancesResult)> Done) {
  Lists_.add();
  std::string Target = "/v1/instances";
  if (Domain)
    Target += "?domain=" + Domain->value();
  send("GET", std::move(Target), {}, Timeout_,
       [Done = std::move(Done)](std::optional<HttpResponse> Answer,
                                std::string Reason) {
         Done(internal::toInstancesResult(Answer, Reason));
       });
}

} // namespace medlarmoor::platform
