#include <medlarmoor/request/internal/dispatch_executor.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include <nlohmann/json.hpp>

namespace medlarmoor::request::internal {

namespace {

using upstream::AttemptEnd;

/// How long after its deadline a submission may still learn its outcome.
constexpr Millis Grace{700};
constexpr Millis CancelTime{500};
constexpr Millis LoadTime{500};
constexpr Millis LeastSilence{500};
/// A pooled connection without a first byte for this many typical service
/// times counts as silent.
constexpr int SilenceTimes = 8;

std::chrono::steady_clock::time_point steadyIn(Nanos Left) {
  return std::chrono::steady_clock::now() + Left;
}

HttpMessage postTo(const config::Upstream &To, const char *Target) {
  HttpMessage Out(http::verb::post, Target, 11);
  Out.set(http::field::host, To.Requests_.text());
  return Out;
}

HttpMessage runMessage(const Send &Of, const OpenRequest &Asked, Nanos Left,
                       const Hop &Trace) {
  HttpMessage Out = postTo(Of.To_, "/run");
  Out.set("Idempotency-Key", Asked.Asked_.Key_.value());
  Out.set("Medlarmoor-Attempt", Of.Attempt_.value());
  Out.set("Medlarmoor-Class", text(Asked.Asked_.Class_));
  Out.set("Medlarmoor-Deadline-Ms",
          std::to_string(std::chrono::ceil<Millis>(Left).count()));
  Out.set("traceparent", Trace.Context_.text());
  Out.body() = Asked.Body_;
  Out.prepare_payload();
  return Out;
}

std::optional<upstream::LoadReport> readLoad(const std::string &Text) {
  const auto From = nlohmann::json::parse(Text, nullptr, false);
  if (!From.is_object())
    return std::nullopt;
  try {
    upstream::LoadReport Out;
    Out.Running_ = From.value("running", 0U);
    Out.Queued_ = From.value("queued", 0U);
    Out.Age_ = Millis(std::max<std::int64_t>(0, From.value("ageMs", 0)));
    const std::string State = From.value("state", "ready");
    if (State == "warming")
      Out.State_ = upstream::ServingState::Warming;
    if (State == "draining")
      Out.State_ = upstream::ServingState::Draining;
    return Out;
  } catch (const nlohmann::json::exception &) {
    return std::nullopt;
  }
}

} // namespace

DispatchExecutor::DispatchExecutor(asio::io_context &Io, ConnectionPool &Pool,
                                   Peers &Others, RequestMetrics &Counts,
                                   Tracer &Traces, Dispatcher Decides,
                                   Clock Time)
    : Io_(Io), Pool_(Pool), Others_(Others), Counts_(Counts), Traces_(Traces),
      Decides_(std::move(Decides)), Time_(std::move(Time)) {}

void DispatchExecutor::configure(const config::Service &Now,
                                 std::vector<config::Upstream> Upstreams) {
  Name_ = Now.Name_;
  Upstreams_ = std::move(Upstreams);
  DispatcherLimits Limits;
  Limits.QueuePerSlot_ = Now.Policy_.QueuePerSlot_;
  Limits.RetryBudget_ = Now.Policy_.RetryBudget_;
  Decides_.setLimits(Limits);
  Decides_.slots().configure(Upstreams_);
}

Awaitable<Verdict> DispatchExecutor::serve(OpenRequestPtr Asked) {
  const Ticket Of = Decides_.submit(Asked->Asked_);
  co_return co_await await(std::move(Asked), Of);
}

Awaitable<Verdict> DispatchExecutor::refuse(OpenRequestPtr Asked, bool Stop) {
  const Ticket Of = Decides_.refuse(Asked->Asked_, Stop);
  co_return co_await await(std::move(Asked), Of);
}

Awaitable<Verdict> DispatchExecutor::await(OpenRequestPtr Asked, Ticket Of) {
  Open_.emplace(Of, Asked);
  TicketOf_.emplace(Asked.get(), Of);
  pump();
  if (!Asked->Verdict_) {
    Asked->Ready_.expires_at(
        steadyIn(Asked->Asked_.Deadline_ + Grace - Time_.now()));
    Error Ignored;
    co_await Asked->Ready_.async_wait(into(Ignored));
  }
  while (!Asked->Verdict_ && Asked->Started_ && Asked->Caller_) {
    Asked->Ready_.expires_at(asio::steady_timer::time_point::max());
    Error Ignored;
    co_await Asked->Ready_.async_wait(into(Ignored));
  }
  if (!Asked->Verdict_)
    withdraw(Asked);
  TicketOf_.erase(Asked.get());
  if (Asked->Verdict_)
    co_return *Asked->Verdict_;
  co_return Verdict{Outcome::Unknown, "deadline_passed", true, nullptr, false};
}

void DispatchExecutor::withdraw(const OpenRequestPtr &Asked) {
  const auto At = TicketOf_.find(Asked.get());
  if (At == TicketOf_.end() || Asked->Verdict_)
    return;
  const Ticket Of = At->second;
  Asked->Caller_.reset();
  Decides_.withdraw(Of);
  Asked->Ready_.cancel();
  pump();
}

void DispatchExecutor::tick() {
  Decides_.tick();
  pump();
}

void DispatchExecutor::moveOn() {
  Decides_.moveOn();
  pump();
}

void DispatchExecutor::pump() {
  if (Pumping_)
    return;
  Pumping_ = true;
  for (std::vector<Action> All = Decides_.take(); !All.empty();
       All = Decides_.take())
    for (const Action &Each : All)
      std::visit([this](const auto &Of) { act(Of); }, Each);
  Pumping_ = false;
}

void DispatchExecutor::act(const Send &Of) {
  const auto At = Open_.find(Of.Ticket_);
  if (At == Open_.end())
    return Decides_.answered(Of.Ticket_, AttemptEnd::NotConnected, Nanos(0));
  Counts_.Attempts_.add();
  asio::co_spawn(Io_, attempt(Of, At->second), asio::detached);
}

void DispatchExecutor::act(const Replicate &Of) {
  Others_.replicate(Of, Time_.now(),
                    [Self = shared_from_this(), Of](ReplicaEnd End) {
                      Self->Decides_.replicated(Of.Ticket_, End);
                      Self->pump();
                    });
}

void DispatchExecutor::act(const Announce &Of) { Others_.announce(Of); }

void DispatchExecutor::act(const Resolve &Of) {
  const auto At = Open_.find(Of.Ticket_);
  if (At == Open_.end())
    return;
  At->second->Verdict_ = Of.Verdict_;
  At->second->Ready_.cancel();
  Open_.erase(At);
}

void DispatchExecutor::act(const Cancel &Of) {
  asio::co_spawn(Io_, cancel(Of.At_, Of.Attempt_), asio::detached);
  const auto At = Open_.find(Of.Ticket_);
  if (!Of.GiveUp_ || At == Open_.end())
    return;
  At->second->GaveUp_ = true;
  if (At->second->Upstream_)
    At->second->Upstream_->Stream_.close();
}

Awaitable<void> DispatchExecutor::attempt(Send Of, OpenRequestPtr Asked) {
  const auto Self = shared_from_this();
  const TimePoint Began = Time_.now();
  const Nanos Left = Of.Deadline_ - Began;
  const Hop Trace = Traces_.below(Asked->Trace_);
  const HttpMessage Message = runMessage(Of, *Asked, Left, Trace);
  const Nanos Silence = std::max<Nanos>(
      LeastSilence, SilenceTimes * Decides_.slots().typicalTime());
  const CallResult Got = co_await call(
      Pool_, {Of.To_.Requests_, steadyIn(Left), Of.Fresh_, Silence}, Message,
      Asked->Upstream_);
  AttemptEnd End = Got.End_ == CallEnd::NotConnected ? AttemptEnd::NotConnected
                                                     : AttemptEnd::Failed;
  std::shared_ptr<const KeptAnswer> Kept;
  if (Got.Answer_)
    End = co_await take(Of, Asked, Got.Answer_, Kept);
  if (Asked->GaveUp_ && End != AttemptEnd::Whole)
    End = AttemptEnd::Abandoned;
  Traces_.end(
      Trace, "request.attempt", telemetry::SpanKind::Client,
      {{"upstream", Of.To_.Name_.value()}, {"attempt", Of.Attempt_.value()}},
      End == AttemptEnd::Whole ? "" : "no_whole_answer");
  Counts_.AttemptTime_.record(Time_.now() - Began);
  Decides_.answered(Of.Ticket_, End, Time_.now() - Began, std::move(Kept));
  pump();
}

Awaitable<AttemptEnd>
DispatchExecutor::take(const Send &Of, OpenRequestPtr Asked, AnswerPtr Got,
                       std::shared_ptr<const KeptAnswer> &Kept) {
  if (Got->field("Medlarmoor-Attempt") != Of.Attempt_.value()) {
    Counts_.Crossed_.add();
    Got->From_->Stream_.close();
    Pool_.purge(Of.To_.Requests_);
    co_return AttemptEnd::Failed;
  }
  if (Got->status() == 503 && Got->field("Medlarmoor-Not-Run") == "1")
    co_return AttemptEnd::Shed;
  if (Got->Whole_) {
    Asked->Whole_ = Got->message();
    if (Got->Head_.size() <= KeptAnswerBytes)
      Kept = std::make_shared<KeptAnswer>(KeptAnswer{*Asked->Whole_});
    co_return AttemptEnd::Whole;
  }
  const CallerStream To = Asked->Caller_;
  Asked->Started_ = To != nullptr;
  net::HttpHeaders Extra;
  Extra.add("Medlarmoor-Outcome", "done");
  if (co_await relay(*Got, To.get(), Extra, Asked->Close_))
    co_return AttemptEnd::Whole;
  Counts_.Cut_.add();
  Got->From_->Stream_.close();
  Asked->Cut_ = Asked->Started_;
  // Part of it has gone out: no other attempt could continue it.
  co_return Asked->Cut_ ? AttemptEnd::Abandoned : AttemptEnd::Failed;
}

Awaitable<void> DispatchExecutor::cancel(config::Upstream At, AttemptId Which) {
  HttpMessage Message = postTo(At, "/cancel");
  Message.set("Medlarmoor-Attempt", Which.value());
  Message.prepare_payload();
  ConnectionPtr Opened;
  co_await call(Pool_, {At.Requests_, steadyIn(CancelTime), true, {}}, Message,
                Opened);
}

void DispatchExecutor::pollLoads() {
  for (const config::Upstream &Each : Upstreams_)
    if (!std::exchange(Polling_[Each.Name_], true))
      asio::co_spawn(Io_, pollLoad(Each), asio::detached);
}

Awaitable<void> DispatchExecutor::pollLoad(config::Upstream At) {
  const auto Self = shared_from_this();
  HttpMessage Message(http::verb::get, "/load", 11);
  Message.set(http::field::host, At.Requests_.text());
  ConnectionPtr Opened;
  const CallResult Got =
      co_await call(Pool_, {At.Requests_, steadyIn(LoadTime), false, LoadTime},
                    Message, Opened);
  Polling_[At.Name_] = false;
  if (!Got.Answer_ || !Got.Answer_->Whole_ || Got.Answer_->status() != 200)
    co_return;
  if (const auto Report = readLoad(Got.Answer_->Head_))
    Decides_.slots().report(At.Name_, *Report);
}

} // namespace medlarmoor::request::internal
