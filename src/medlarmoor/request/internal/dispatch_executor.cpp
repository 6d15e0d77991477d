#include <medlarmoor/request/internal/dispatch_executor.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include <nlohmann/json.hpp>

namespace medlarmoor::request::internal {

namespace {

using upstream::AttemptResult;

/// Time after its deadline in which a submission may still receive its outcome.
constexpr Millis OutcomeGrace{700};
constexpr Millis CancelTimeout{500};
constexpr Millis LoadPollTimeout{500};
/// A pooled connection counts as dead if it has not delivered the header of the
/// answer after HeaderTimeoutFactor typical service times, and at least after
/// MinHeaderTimeout.
constexpr Millis MinHeaderTimeout{500};
constexpr int HeaderTimeoutFactor = 8;

std::chrono::steady_clock::time_point steadyIn(Nanos Remaining) {
  return std::chrono::steady_clock::now() + Remaining;
}

HttpMessage postTo(const config::Upstream &Upstream, const char *Target) {
  HttpMessage Message(http::verb::post, Target, 11);
  Message.set(http::field::host, Upstream.Requests_.text());
  return Message;
}

HttpMessage runMessage(const Send &Task, const OpenRequest &Request,
                       Nanos Remaining, const OpenSpan &Span) {
  HttpMessage Message = postTo(Task.Target_, "/run");
  Message.set("Idempotency-Key", Request.Submission_.Key_.value());
  Message.set("Medlarmoor-Attempt", Task.Attempt_.value());
  Message.set("Medlarmoor-Class", text(Request.Submission_.Class_));
  Message.set("Medlarmoor-Deadline-Ms",
              std::to_string(std::chrono::ceil<Millis>(Remaining).count()));
  Message.set("traceparent", Span.Context_.text());
  Message.body() = Request.Body_;
  Message.prepare_payload();
  return Message;
}

std::optional<upstream::LoadReport> parseLoadReport(const std::string &Text) {
  const auto Parsed = nlohmann::json::parse(Text, nullptr, false);
  if (!Parsed.is_object())
    return std::nullopt;
  try {
    upstream::LoadReport Report;
    Report.Running_ = Parsed.value("running", 0U);
    Report.Queued_ = Parsed.value("queued", 0U);
    Report.Age_ = Millis(std::max<std::int64_t>(0, Parsed.value("ageMs", 0)));
    const std::string State = Parsed.value("state", "ready");
    if (State == "warming")
      Report.State_ = upstream::ServingState::Warming;
    if (State == "draining")
      Report.State_ = upstream::ServingState::Draining;
    return Report;
  } catch (const nlohmann::json::exception &) {
    return std::nullopt;
  }
}

} // namespace

DispatchExecutor::DispatchExecutor(asio::io_context &Io, ConnectionPool &Pool,
                                   LedgerReplicator &Replicator,
                                   RequestMetrics &Metrics, Tracer &Traces,
                                   Dispatcher Decisions, Clock Time)
    : Io_(Io), Pool_(Pool), Replicator_(Replicator), Metrics_(Metrics),
      Tracer_(Traces), Dispatcher_(std::move(Decisions)),
      Time_(std::move(Time)) {}

void DispatchExecutor::configure(const config::Service &Service,
                                 std::vector<config::Upstream> Upstreams) {
  Name_ = Service.Name_;
  Upstreams_ = std::move(Upstreams);
  DispatcherLimits Limits;
  Limits.QueuePerSlot_ = Service.Policy_.QueuePerSlot_;
  Limits.RetryBudget_ = Service.Policy_.RetryBudget_;
  Dispatcher_.setLimits(Limits);
  Dispatcher_.slotPool().configure(Upstreams_);
}

Awaitable<Verdict> DispatchExecutor::serve(OpenRequestPtr Request) {
  const Ticket Id = Dispatcher_.submit(Request->Submission_);
  co_return co_await awaitVerdict(std::move(Request), Id);
}

Awaitable<Verdict> DispatchExecutor::refuse(OpenRequestPtr Request,
                                            bool CancelRunning) {
  const Ticket Id = Dispatcher_.refuse(Request->Submission_, CancelRunning);
  co_return co_await awaitVerdict(std::move(Request), Id);
}

Awaitable<Verdict> DispatchExecutor::awaitVerdict(OpenRequestPtr Request,
                                                  Ticket Id) {
  RequestByTicket_.emplace(Id, Request);
  TicketByRequest_.emplace(Request.get(), Id);
  runActions();
  if (!Request->Verdict_) {
    Request->VerdictTimer_.expires_at(
        steadyIn(Request->Submission_.Deadline_ + OutcomeGrace - Time_.now()));
    Error Ignored;
    co_await Request->VerdictTimer_.async_wait(storeError(Ignored));
  }
  // An answer that is being relayed to the caller may outlast the deadline.
  while (!Request->Verdict_ && Request->AnswerStarted_ && Request->Caller_) {
    Request->VerdictTimer_.expires_at(asio::steady_timer::time_point::max());
    Error Ignored;
    co_await Request->VerdictTimer_.async_wait(storeError(Ignored));
  }
  if (!Request->Verdict_)
    withdraw(Request);
  TicketByRequest_.erase(Request.get());
  if (Request->Verdict_)
    co_return *Request->Verdict_;
  co_return Verdict{Outcome::Unknown, "deadline_passed", true, nullptr, false};
}

void DispatchExecutor::withdraw(const OpenRequestPtr &Request) {
  const auto Found = TicketByRequest_.find(Request.get());
  if (Found == TicketByRequest_.end() || Request->Verdict_)
    return;
  const Ticket Id = Found->second;
  Request->Caller_.reset();
  Dispatcher_.withdraw(Id);
  Request->VerdictTimer_.cancel();
  runActions();
}

void DispatchExecutor::tick() {
  Dispatcher_.tick();
  runActions();
}

void DispatchExecutor::redirectQueued() {
  Dispatcher_.redirectWaiting();
  runActions();
}

void DispatchExecutor::runActions() {
  if (RunningActions_)
    return;
  RunningActions_ = true;
  for (std::vector<Action> Decided = Dispatcher_.takeActions();
       !Decided.empty(); Decided = Dispatcher_.takeActions())
    for (const Action &Next : Decided)
      std::visit([this](const auto &Task) { execute(Task); }, Next);
  RunningActions_ = false;
}

void DispatchExecutor::execute(const Send &Task) {
  const auto Found = RequestByTicket_.find(Task.Ticket_);
  if (Found == RequestByTicket_.end())
    return Dispatcher_.onAttemptEnd(Task.Ticket_, AttemptResult::NotConnected,
                                    Nanos(0));
  Metrics_.Attempts_.add();
  asio::co_spawn(Io_, attempt(Task, Found->second), asio::detached);
}

void DispatchExecutor::execute(const Replicate &Task) {
  Replicator_.replicate(
      Task, Time_.now(),
      [Self = shared_from_this(), Task](ReplicationResult End) {
        Self->Dispatcher_.onReplicationEnd(Task.Ticket_, End);
        Self->runActions();
      });
}

void DispatchExecutor::execute(const Announce &Task) {
  Replicator_.announce(Task);
}

void DispatchExecutor::execute(const Resolve &Task) {
  const auto Found = RequestByTicket_.find(Task.Ticket_);
  if (Found == RequestByTicket_.end())
    return;
  Found->second->Verdict_ = Task.Verdict_;
  Found->second->VerdictTimer_.cancel();
  RequestByTicket_.erase(Found);
}

void DispatchExecutor::execute(const Cancel &Task) {
  asio::co_spawn(Io_, cancel(Task.Target_, Task.Attempt_), asio::detached);
  const auto Found = RequestByTicket_.find(Task.Ticket_);
  if (!Task.Abandon_ || Found == RequestByTicket_.end())
    return;
  Found->second->Abandoned_ = true;
  if (Found->second->UpstreamConnection_)
    Found->second->UpstreamConnection_->Stream_.close();
}

Awaitable<void> DispatchExecutor::attempt(Send Task, OpenRequestPtr Request) {
  const auto Self = shared_from_this();
  const TimePoint Started = Time_.now();
  const Nanos Remaining = Task.Deadline_ - Started;
  const OpenSpan Span = Tracer_.startChild(Request->Trace_);
  const HttpMessage Message = runMessage(Task, *Request, Remaining, Span);
  const Nanos HeaderTimeout = std::max<Nanos>(
      MinHeaderTimeout,
      HeaderTimeoutFactor * Dispatcher_.slotPool().medianServiceTime());
  const CallResult Result =
      co_await call(Pool_,
                    {Task.Target_.Requests_, steadyIn(Remaining),
                     Task.FreshConnection_, HeaderTimeout},
                    Message, Request->UpstreamConnection_);
  AttemptResult End = Result.End_ == CallEnd::NotConnected
                          ? AttemptResult::NotConnected
                          : AttemptResult::Failed;
  std::shared_ptr<const KeptAnswer> Kept;
  if (Result.Answer_)
    End = co_await processAnswer(Task, Request, Result.Answer_, Kept);
  if (Request->Abandoned_ && End != AttemptResult::Complete)
    End = AttemptResult::Abandoned;
  Tracer_.end(Span, "request.attempt", telemetry::SpanKind::Client,
              {{"upstream", Task.Target_.Name_.value()},
               {"attempt", Task.Attempt_.value()}},
              End == AttemptResult::Complete ? "" : "no_whole_answer");
  Metrics_.AttemptTime_.record(Time_.now() - Started);
  Dispatcher_.onAttemptEnd(Task.Ticket_, End, Time_.now() - Started,
                           std::move(Kept));
  runActions();
}

Awaitable<AttemptResult>
DispatchExecutor::processAnswer(const Send &Task, OpenRequestPtr Request,
                                AnswerPtr Received,
                                std::shared_ptr<const KeptAnswer> &Kept) {
  if (Received->header("Medlarmoor-Attempt") != Task.Attempt_.value()) {
    Metrics_.MismatchedAnswers_.add();
    Received->Connection_->Stream_.close();
    Pool_.purge(Task.Target_.Requests_);
    co_return AttemptResult::Failed;
  }
  if (Received->status() == 503 &&
      Received->header("Medlarmoor-Not-Run") == "1")
    co_return AttemptResult::Shed;
  if (Received->Complete_) {
    Request->CompleteAnswer_ = Received->message();
    if (Received->BodyPrefix_.size() <= MaxKeptAnswerBytes)
      Kept =
          std::make_shared<KeptAnswer>(KeptAnswer{*Request->CompleteAnswer_});
    co_return AttemptResult::Complete;
  }
  const CallerStream Caller = Request->Caller_;
  Request->AnswerStarted_ = Caller != nullptr;
  net::HttpHeaders Extra;
  Extra.add("Medlarmoor-Outcome", "done");
  if (co_await relay(*Received, Caller.get(), Extra, Request->CloseConnection_))
    co_return AttemptResult::Complete;
  Metrics_.TruncatedAnswers_.add();
  Received->Connection_->Stream_.close();
  Request->AnswerTruncated_ = Request->AnswerStarted_;
  // Once part of the answer has been sent to the caller, no other attempt can
  // complete it.
  co_return Request->AnswerTruncated_ ? AttemptResult::Abandoned
                                      : AttemptResult::Failed;
}

Awaitable<void> DispatchExecutor::cancel(config::Upstream Target,
                                         AttemptId Attempt) {
  HttpMessage Message = postTo(Target, "/cancel");
  Message.set("Medlarmoor-Attempt", Attempt.value());
  Message.prepare_payload();
  ConnectionPtr InUse;
  co_await call(Pool_, {Target.Requests_, steadyIn(CancelTimeout), true, {}},
                Message, InUse);
}

void DispatchExecutor::pollLoads() {
  for (const config::Upstream &Target : Upstreams_)
    if (!std::exchange(Polling_[Target.Name_], true))
      asio::co_spawn(Io_, pollLoad(Target), asio::detached);
}

Awaitable<void> DispatchExecutor::pollLoad(config::Upstream Target) {
  const auto Self = shared_from_this();
  HttpMessage Message(http::verb::get, "/load", 11);
  Message.set(http::field::host, Target.Requests_.text());
  ConnectionPtr InUse;
  const CallResult Result = co_await call(
      Pool_,
      {Target.Requests_, steadyIn(LoadPollTimeout), false, LoadPollTimeout},
      Message, InUse);
  Polling_[Target.Name_] = false;
  if (!Result.Answer_ || !Result.Answer_->Complete_ ||
      Result.Answer_->status() != 200)
    co_return;
  if (const auto Report = parseLoadReport(Result.Answer_->BodyPrefix_))
    Dispatcher_.slotPool().recordReport(Target.Name_, *Report);
}

} // namespace medlarmoor::request::internal
