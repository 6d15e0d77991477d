#include <medlarmoor/core/findings.hpp>
#include <medlarmoor/request/internal/responses.hpp>
#include <medlarmoor/request/internal/router.hpp>
#include <medlarmoor/request/key_parts.hpp>

#include <boost/asio/steady_timer.hpp>

namespace medlarmoor::request::internal {

namespace {

/// Time in which an entry tries to reach the dispatcher of a request.
constexpr Millis SearchTimeout = Seconds(3);
constexpr Millis SearchRetryDelay{40};
/// Deadline of a look-up, a cancellation or a refusal.
constexpr Millis KeyRequestTimeout = Seconds(2);
/// Time in which a pooled connection to a dispatcher must deliver the header of
/// the answer. A request that is sent again after that joins the one that is
/// already running.
constexpr Millis HeaderTimeout = Seconds(2);
constexpr std::uint64_t MaxInternalBodyBytes = 64U * 1024U * 1024U;
/// A body is read to its end up to this multiple of the service's limit, so
/// that its caller receives the refusal. The connection of a larger one is
/// closed before the body has ended.
constexpr std::uint64_t ReadLimitFactor = 4;
constexpr std::string_view PublicPrefix = "/v1/services/";
constexpr std::string_view PublicCollection = "/requests";
constexpr std::string_view InternalPrefix = "/internal/requests/";

/// The service and the key that a target names. The key may be empty.
struct ResourcePath {
  ServiceName Service_;
  std::string Key_;
};

std::optional<ResourcePath> parsePath(std::string_view Target, bool FromEntry) {
  Target = Target.substr(0, Target.find('?'));
  const std::string_view Prefix = FromEntry ? InternalPrefix : PublicPrefix;
  if (Target.substr(0, Prefix.size()) != Prefix)
    return std::nullopt;
  Target.remove_prefix(Prefix.size());
  const std::size_t End = Target.find('/');
  ResourcePath Path{ServiceName(std::string(Target.substr(0, End))), {}};
  if (FromEntry)
    return End == std::string_view::npos ? std::optional(Path) : std::nullopt;
  if (End == std::string_view::npos)
    return std::nullopt;
  Target.remove_prefix(End);
  if (Target.substr(0, PublicCollection.size()) != PublicCollection)
    return std::nullopt;
  Target.remove_prefix(PublicCollection.size());
  if (Target.empty())
    return Path;
  if (Target.front() != '/' || Target.size() == 1)
    return std::nullopt;
  Path.Key_ = std::string(Target.substr(1));
  return Path;
}

net::HttpRequest toHttpRequest(const HttpMessage &Message) {
  net::HttpRequest Request{std::string(Message.method_string()),
                           std::string(Message.target()),
                           {},
                           Message.body()};
  for (const auto &Field : Message)
    Request.Headers_.add(std::string(Field.name_string()),
                         std::string(Field.value()));
  return Request;
}

Verdict unknown(std::string Reason) {
  return {Outcome::Unknown, std::move(Reason), true, nullptr, false};
}

Outcome outcomeOf(std::string_view Text) {
  if (Text == text(Outcome::Done))
    return Outcome::Done;
  return Text == text(Outcome::NotRun) ? Outcome::NotRun : Outcome::Unknown;
}

unsigned statusOf(const Findings &Found, bool KnownService) {
  if (!KnownService)
    return 404;
  const bool BodyTooLarge = std::any_of(
      Found.items().begin(), Found.items().end(),
      [](const Finding &Item) { return Item.Place_.File_ == "body"; });
  return BodyTooLarge ? 413 : 400;
}

/// The values of the header Medlarmoor-Verb, in the order of Router::Verb.
constexpr std::array<const char *, 4> VerbNames{"submit", "look_up", "cancel",
                                                "refuse"};

} // namespace

std::uint64_t Router::bodyLimit(std::string_view Target) const {
  if (Target.starts_with("/internal/"))
    return MaxInternalBodyBytes;
  const std::optional<ResourcePath> Path = parsePath(Target, false);
  if (Path && Config_)
    for (const config::Service &Service : Config_->Environment_.Services_)
      if (Service.Name_ == Path->Service_)
        return ReadLimitFactor * Service.Policy_.MaxBodyBytes_;
  return ReadLimitFactor * config::ServicePolicy().MaxBodyBytes_;
}

Awaitable<void> Router::refuseTooLarge(CallerStream Caller) {
  Findings Found;
  Found.add({"body", 0, 0}, "larger than the service accepts");
  Metrics_.BadInput_.add();
  co_await writeResponse(*Caller, findingsResponse(413, Found, Outcome::NotRun),
                         true);
}

void Router::parseSubmission(const net::HttpRequest &Message,
                             const ServiceName &Service,
                             InboundRequest &Inbound) {
  OpenRequest &Open = *Inbound.Open_;
  Open.Body_ = Message.Body_;
  const auto Parsed =
      Reader_.read(Message, Service, Config_->Environment_, Inbound.Findings_);
  if (Parsed) {
    Open.Submission_ = *Parsed;
    return;
  }
  Inbound.Status_ = statusOf(Inbound.Findings_, executor(Service) != nullptr);
  const auto Key = Message.Headers_.find("Idempotency-Key");
  const auto Parts = Key ? parseKey(IdempotencyKey(*Key)) : std::nullopt;
  Inbound.Undispatchable_ =
      !Parts || !executor(Service) || Parts->Domain_ != Settings_.Domain_;
  Inbound.Verb_ = Verb::Refuse;
  if (!Inbound.Undispatchable_)
    Open.Submission_ = {Service,
                        MethodClass::Once,
                        IdempotencyKey(*Key),
                        Parts->Minted_,
                        1,
                        Time_.now() + KeyRequestTimeout};
}

void Router::parseKeyRequest(const ServiceName &Service, const std::string &Key,
                             InboundRequest &Inbound) {
  const auto Parts = parseKey(IdempotencyKey(Key));
  if (!executor(Service))
    Inbound.Findings_.add({"service", 0, 0},
                          "unknown service '" + Service.value() + "'");
  if (!Parts)
    Inbound.Findings_.add({"key", 0, 0}, "malformed",
                          "{failure domain}-{unix milliseconds}-{random}");
  Inbound.Undispatchable_ = !Inbound.Findings_.empty();
  Inbound.Status_ = executor(Service) ? 400 : 404;
  if (!Inbound.Undispatchable_)
    Inbound.Open_->Submission_ = {
        Service,        MethodClass::Once, IdempotencyKey(Key),
        Parts->Minted_, UINT32_MAX,        Time_.now() + KeyRequestTimeout};
}

Router::InboundRequest Router::parse(const HttpMessage &Message,
                                     CallerStream Caller, bool FromEntry) {
  InboundRequest Inbound;
  Inbound.FromEntry_ = FromEntry;
  Inbound.Open_ = std::make_shared<OpenRequest>(Io_);
  Inbound.Open_->Caller_ = std::move(Caller);
  const std::string_view Target(Message.target().data(),
                                Message.target().size());
  const std::optional<ResourcePath> Path = parsePath(Target, FromEntry);
  const net::HttpRequest Request = toHttpRequest(Message);
  Inbound.Traceparent_ = Request.Headers_.find("traceparent").value_or("");
  const std::string ForwardedVerb =
      FromEntry ? Request.Headers_.find("Medlarmoor-Verb").value_or("submit")
                : "";
  const bool IsSubmission = Path && Path->Key_.empty() &&
                            Request.Method_ == "POST" &&
                            (!FromEntry || ForwardedVerb == "submit");
  const bool IsKeyRequest =
      Path && !IsSubmission &&
      (FromEntry || Request.Method_ == "GET" || Request.Method_ == "DELETE") &&
      (FromEntry || !Path->Key_.empty());
  if (!Config_ || (!IsSubmission && !IsKeyRequest)) {
    Inbound.Findings_.add({Request.Target_, 0, 0},
                          Config_ ? "no such resource"
                                  : "no configuration in force yet");
    Inbound.Status_ = Config_ ? 404 : 503;
    Inbound.Undispatchable_ = true;
    return Inbound;
  }
  if (IsSubmission) {
    parseSubmission(Request, Path->Service_, Inbound);
    return Inbound;
  }
  Inbound.Verb_ = Request.Method_ == "DELETE" ? Verb::Cancel : Verb::LookUp;
  for (std::size_t I = 0; FromEntry && I < VerbNames.size(); ++I)
    if (ForwardedVerb == VerbNames[I])
      Inbound.Verb_ = static_cast<Verb>(I);
  parseKeyRequest(Path->Service_,
                  FromEntry
                      ? Request.Headers_.find("Idempotency-Key").value_or("")
                      : Path->Key_,
                  Inbound);
  return Inbound;
}

Awaitable<bool> Router::answerCaller(HttpMessage Message, CallerStream Caller,
                                     bool Close) {
  co_return co_await answer(parse(Message, std::move(Caller), false), Close);
}

Awaitable<bool> Router::answerEntry(HttpMessage Message, CallerStream Sender,
                                    bool Close) {
  const std::optional<EntryName> Verified = verifySender(Message);
  if (!Verified)
    co_return co_await writeResponse(*Sender, jsonResponse(401, "{}"), Close);
  if (Message.target() == "/internal/ledger")
    co_return co_await writeResponse(*Sender,
                                     acceptReplicas(Message, *Verified), Close);
  if (Message.target() == "/internal/handover")
    co_return co_await writeResponse(*Sender, acceptHandoff(Message), Close);
  co_return co_await answer(parse(Message, std::move(Sender), true), Close);
}

Awaitable<bool> Router::answer(InboundRequest Inbound, bool Close) {
  Inbound.Open_->CloseConnection_ = Close;
  const OpenSpan Span = Tracer_.startFromHeader(Inbound.Traceparent_);
  Inbound.Open_->Trace_ = Span.Context_;
  Verdict Result{Outcome::NotRun, "bad_input", false, nullptr, false};
  const bool Relayed =
      !Inbound.Undispatchable_ && co_await dispatch(Inbound, Result, Close);
  const bool Answered = Relayed ? !Inbound.RelayFailed_
                                : co_await respond(Inbound, Result, Close);
  Tracer_.end(Span, Inbound.FromEntry_ ? "request.dispatch" : "request.serve",
              telemetry::SpanKind::Server,
              {{"key", Inbound.Open_->Submission_.Key_.value()},
               {"outcome", text(Result.Outcome_)},
               {"reason", Result.Reason_}},
              Answered ? "" : "connection_lost");
  co_return Answered;
}

Awaitable<bool> Router::dispatch(InboundRequest &Inbound, Verdict &Result,
                                 bool Close) {
  const Submission &Submitted = Inbound.Open_->Submission_;
  const auto Parts = parseKey(Submitted.Key_);
  const bool ForeignKey = Parts && Parts->Domain_ != Settings_.Domain_ &&
                          Submitted.Class_ == MethodClass::Once;
  Result = unknown(ForeignKey ? "key_of_another_failure_domain"
                              : "dispatcher_unreachable");
  const TimePoint Until =
      std::min(Submitted.Deadline_, Time_.now() + SearchTimeout);
  while (!ForeignKey && Time_.now() < Until && Inbound.Open_->Caller_) {
    Role_.checkClock();
    const membership::Member *Target = Role_.dispatcher(Submitted.Service_);
    DispatchExecutor *Executor = executor(Submitted.Service_);
    const bool Own = Target && Target->Name_ == Identity_.Name_;
    if (Executor && Own && !Role_.suspended()) {
      Result = co_await dispatchHere(Inbound, *Executor);
      if (!Result.NotDispatcher_ || Inbound.FromEntry_)
        co_return false;
    } else if (Inbound.FromEntry_) {
      Result.NotDispatcher_ = true;
      co_return false;
    } else if (Target && !Own) {
      if (co_await forward(Inbound, *Target, Result, Close))
        co_return true;
      if (!Result.NotDispatcher_)
        co_return false;
    }
    Result = unknown("dispatcher_unreachable");
    co_await pause(SearchRetryDelay);
  }
  co_return false;
}

Awaitable<Verdict> Router::dispatchHere(InboundRequest &Inbound,
                                        DispatchExecutor &Executor) {
  const std::shared_ptr<DispatchExecutor> Shared = Executor.shared_from_this();
  if (Inbound.Verb_ == Verb::LookUp)
    co_return Executor.dispatcher().lookUp(Inbound.Open_->Submission_.Key_);
  if (Inbound.Verb_ != Verb::Submit)
    co_return co_await Executor.refuse(Inbound.Open_,
                                       Inbound.Verb_ == Verb::Cancel);
  watchCaller(Inbound.Open_,
              [Shared, Open = Inbound.Open_] { Shared->withdraw(Open); });
  Inbound.Open_->Verdict_.reset();
  co_return co_await Executor.serve(Inbound.Open_);
}

Awaitable<bool> Router::forward(InboundRequest &Inbound,
                                membership::Member Target, Verdict &Result,
                                bool Close) {
  const auto InUse = std::make_shared<ConnectionPtr>();
  const CallerStream Caller = Inbound.Open_->Caller_;
  watchCaller(Inbound.Open_, [InUse, Open = Inbound.Open_] {
    Open->Caller_.reset();
    if (*InUse)
      (*InUse)->Stream_.close();
  });
  Metrics_.Forwarded_.add();
  const OpenSpan Span = Tracer_.startChild(Inbound.Open_->Trace_);
  const HttpMessage Message = forwardMessage(Inbound, Target, Span);
  const Nanos Remaining =
      Inbound.Open_->Submission_.Deadline_ - Time_.now() + Seconds(1);
  const auto Pending = Forwards_.insert(Forwards_.end(), {Target.Name_, InUse});
  const CallResult Called = co_await call(
      Pool_,
      {Endpoint(Target.Address_, Settings_.Ports_.Internal_),
       std::chrono::steady_clock::now() + Remaining, false, HeaderTimeout},
      Message, *InUse);
  Forwards_.erase(Pending);
  Tracer_.end(Span, "request.forward", telemetry::SpanKind::Client,
              {{"to", Target.Name_.value()}},
              Called.Answer_ ? "" : "no_answer");
  Result.NotDispatcher_ = true;
  if (!Called.Answer_ ||
      (Called.Answer_->Complete_ &&
       (Called.Answer_->status() == 421 || Called.Answer_->status() == 401)))
    co_return false;
  Result.Outcome_ = outcomeOf(Called.Answer_->header("Medlarmoor-Outcome"));
  Result.NotDispatcher_ = false;
  if (!Inbound.Findings_.empty() || !Inbound.Open_->Caller_)
    co_return false;
  countOutcome(Result);
  Inbound.RelayFailed_ =
      !co_await relay(*Called.Answer_, Caller.get(), {}, Close);
  co_return true;
}

HttpMessage Router::forwardMessage(const InboundRequest &Inbound,
                                   const membership::Member &Target,
                                   const OpenSpan &Span) {
  const OpenRequest &Open = *Inbound.Open_;
  HttpMessage Message(
      http::verb::post,
      std::string(InternalPrefix) + Open.Submission_.Service_.value(), 11);
  Message.set(http::field::host, Target.Address_.text());
  Message.set("Medlarmoor-Verb",
              VerbNames[static_cast<std::size_t>(Inbound.Verb_)]);
  Message.set("Idempotency-Key", Open.Submission_.Key_.value());
  Message.set("Medlarmoor-Class", text(Open.Submission_.Class_));
  Message.set("Medlarmoor-Try", std::to_string(Open.Submission_.Try_));
  const auto Remaining =
      std::chrono::ceil<Millis>(Open.Submission_.Deadline_ - Time_.now());
  Message.set("Medlarmoor-Deadline-Ms", std::to_string(Remaining.count()));
  Message.set("traceparent", Span.Context_.text());
  Message.body() = Open.Body_;
  Message.prepare_payload();
  sign(Message);
  return Message;
}

Awaitable<bool> Router::respond(const InboundRequest &Inbound,
                                const Verdict &Result, bool Close) {
  const OpenRequest &Open = *Inbound.Open_;
  const CallerStream Caller = Open.Caller_;
  countOutcome(Result);
  if (Open.AnswerStarted_)
    co_return !Open.AnswerTruncated_;
  if (!Caller)
    co_return false;
  if (!Inbound.Findings_.empty()) {
    Metrics_.BadInput_.add();
    co_return co_await writeResponse(
        *Caller,
        findingsResponse(Inbound.Status_, Inbound.Findings_, Result.Outcome_),
        Close);
  }
  if (Inbound.Verb_ == Verb::LookUp)
    co_return co_await writeResponse(*Caller, lookUpResponse(Result), Close);
  Verdict WithAnswer = Result;
  if (Result.Outcome_ == Outcome::Done && Open.CompleteAnswer_)
    WithAnswer.Answer_ =
        std::make_shared<KeptAnswer>(KeptAnswer{*Open.CompleteAnswer_});
  co_return co_await writeResponse(*Caller, responseTo(WithAnswer), Close);
}

void Router::watchCaller(const OpenRequestPtr &Request,
                         std::function<void()> OnLeft) {
  const CallerStream Caller = Request->Caller_;
  Caller->socket().async_wait(
      asio::ip::tcp::socket::wait_read,
      [Caller, Request, OnLeft = std::move(OnLeft)](Error Cancelled) {
        if (Cancelled || Request->Verdict_ || !Request->Caller_)
          return;
        Error Ignored;
        // A readable socket without bytes has been closed by the caller.
        if (Caller->socket().available(Ignored) == 0)
          OnLeft();
      });
}

Awaitable<void> Router::pause(Nanos Duration) {
  asio::steady_timer Timer(Io_, Duration);
  Error Ignored;
  co_await Timer.async_wait(storeError(Ignored));
}

} // namespace medlarmoor::request::internal
