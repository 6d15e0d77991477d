#include <harness/request_caller.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include <memory>

namespace medlarmoor::harness {

namespace {

namespace asio = boost::asio;
using nlohmann::json;

/// Calls made for one request at most.
constexpr std::size_t CallsAtMost = 4;
/// How long a caller waits past the deadline for an answer.
constexpr Millis Grace = Seconds(2);
constexpr unsigned StatusGone = 410;
constexpr int ShortestPauseMs = 20;
constexpr int LongestPauseMs = 80;

std::string bodyOf(const std::string &Key) { return "order for " + Key; }

/// Whether the answer of an upstream is whole and that to the own request.
bool isOwnAnswer(const net::HttpResponse &Response, const std::string &Key) {
  const json Body = json::parse(Response.Body_, nullptr, false);
  if (!Body.is_object())
    return false;
  const std::size_t Filler = Body.value("fillerBytes", std::size_t{0});
  return Body.value("key", "") == Key &&
         Body.value("echo", "") == bodyOf(Key) &&
         Body.value("filler", "") == std::string(Filler, 'f');
}

CallOutcome judge(const net::HttpResponse &Response, const std::string &Key) {
  const std::string Outcome =
      Response.Headers_.find("Medlarmoor-Outcome").value_or("");
  if (Outcome == "not_run")
    return CallOutcome::NotRun;
  if (Outcome == "unknown")
    return CallOutcome::Unknown;
  if (Outcome == "done" && Response.Status_ == StatusGone)
    return CallOutcome::DoneBefore;
  if (Outcome == "done" && isOwnAnswer(Response, Key))
    return CallOutcome::Done;
  return CallOutcome::Wrong;
}

} // namespace

const char *name(CallOutcome Outcome) noexcept {
  switch (Outcome) {
  case CallOutcome::Done:
    return "done";
  case CallOutcome::DoneBefore:
    return "done_before";
  case CallOutcome::NotRun:
    return "not_run";
  case CallOutcome::Unknown:
    return "unknown";
  case CallOutcome::Unanswered:
    return "unanswered";
  case CallOutcome::Unconnected:
    return "unconnected";
  case CallOutcome::Wrong:
    return "wrong";
  }
  return "";
}

RequestCaller::RequestCaller(asio::io_context &Io, Ipv4 Address,
                             std::uint64_t Seed)
    : Io_(Io), Client_(Io, Address), Random_(Seed) {}

void RequestCaller::setLoad(const RequestLoad &Load) {
  if (Load_.Rate_ == 0)
    NextAt_ = Clock_.now();
  Load_ = Load;
}

void RequestCaller::tick(TimePoint Now) {
  const bool Ready =
      Load_.Rate_ > 0 && !Load_.Services_.empty() && !Load_.Entries_.empty();
  if (!Ready)
    return;
  while (NextAt_ <= Now) {
    start();
    std::exponential_distribution<double> Draw(Load_.Rate_);
    NextAt_ += std::chrono::duration_cast<Nanos>(
        std::chrono::duration<double>(Draw(Random_)));
  }
}

std::string RequestCaller::newKey() {
  return Load_.Domain_ + "-" +
         std::to_string(Clock_.wallNow().time_since_epoch().count()) + "-" +
         std::to_string(Random_());
}

void RequestCaller::start() {
  std::uniform_int_distribution<std::size_t> Choice(0,
                                                    Load_.Services_.size() - 1);
  RequestRecord New;
  New.Key_ = newKey();
  New.Service_ = Load_.Services_[Choice(Random_)];
  New.Once_ = std::bernoulli_distribution(Load_.OnceShare_)(Random_);
  Records_.push_back(std::move(New));
  ++Open_;
  call(Records_.back());
}

void RequestCaller::call(RequestRecord &Which) {
  std::uniform_int_distribution<std::size_t> Choice(0,
                                                    Load_.Entries_.size() - 1);
  const Endpoint To = Load_.Entries_[Choice(Random_)];
  net::HttpRequest Request;
  Request.Method_ = "POST";
  Request.Target_ = "/v1/services/" + Which.Service_ + "/requests";
  Request.Headers_.add("Idempotency-Key", Which.Key_);
  Request.Headers_.add("Medlarmoor-Class", Which.Once_ ? "once" : "idempotent");
  Request.Headers_.add("Medlarmoor-Deadline-Ms",
                       std::to_string(Load_.Deadline_.count()));
  Request.Body_ = bodyOf(Which.Key_);
  CallRecord Call;
  Call.Sent_ = Clock_.now();
  Call.Detail_ = To.text();
  Client_.send(To, std::move(Request), Load_.Deadline_ + Grace,
               [this, &Which, Call](std::optional<net::HttpResponse> Response,
                                    const std::string &Reason) {
                 onAnswer(Which, Call, Response, Reason);
               });
}

void RequestCaller::onAnswer(RequestRecord &Which, CallRecord Call,
                             const std::optional<net::HttpResponse> &Response,
                             const std::string &Reason) {
  Call.Ended_ = Clock_.now();
  const bool Unconnected =
      Reason.starts_with("connect") || Reason.starts_with("bind");
  if (Response)
    Call.Outcome_ = judge(*Response, Which.Key_);
  else
    Call.Outcome_ =
        Unconnected ? CallOutcome::Unconnected : CallOutcome::Unanswered;
  Call.Detail_ += " " + Reason;
  if (Response && Call.Outcome_ != CallOutcome::Done)
    Call.Detail_ += std::to_string(Response->Status_) + " " + Response->Body_;
  Which.Calls_.push_back(std::move(Call));
  callAgainOrEnd(Which);
}

void RequestCaller::callAgainOrEnd(RequestRecord &Which) {
  const CallOutcome Last = Which.Calls_.back().Outcome_;
  const bool Settled = Last == CallOutcome::Done ||
                       Last == CallOutcome::DoneBefore ||
                       Last == CallOutcome::Wrong;
  if (Settled || Which.Calls_.size() >= CallsAtMost)
    return end(Which);
  std::uniform_int_distribution<int> Pause(ShortestPauseMs, LongestPauseMs);
  const auto Timer =
      std::make_shared<asio::steady_timer>(Io_, Millis(Pause(Random_)));
  Timer->async_wait([this, Timer, &Which](boost::system::error_code) {
    if (Load_.Entries_.empty())
      end(Which);
    else
      call(Which);
  });
}

void RequestCaller::end(RequestRecord &Which) {
  Which.Over_ = true;
  --Open_;
}

} // namespace medlarmoor::harness
