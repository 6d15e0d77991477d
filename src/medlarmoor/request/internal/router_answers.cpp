#include <medlarmoor/core/findings.hpp>
#include <medlarmoor/request/internal/responses.hpp>
#include <medlarmoor/request/internal/router.hpp>
#include <medlarmoor/request/key_parts.hpp>

#include <boost/asio/steady_timer.hpp>

namespace medlarmoor::request::internal {

namespace {

/// How long an entry looks for the dispatcher of a request.
constexpr Millis SearchTime = Seconds(3);
constexpr Millis SearchPause{40};
constexpr Millis QuestionTime = Seconds(2);
/// A dispatcher's connection out of the pool counts as silent after this long
/// without the head of an answer; asking again joins the running request.
constexpr Millis PeerSilence = Seconds(2);
constexpr std::uint64_t InnerBodyBytes = 64U * 1024U * 1024U;
/// A body up to this many times the service's limit is read to its end, so
/// that its caller gets to see the refusal; a larger one is cut off.
constexpr std::uint64_t ReadPastLimit = 4;
constexpr std::string_view PublicPrefix = "/v1/services/";
constexpr std::string_view PublicMiddle = "/requests";
constexpr std::string_view InnerPrefix = "/internal/requests/";

/// The service and key that a target names.
struct Path {
  ServiceName Service_;
  std::string Key_;
};

std::optional<Path> readPath(std::string_view Target, bool Inner) {
  Target = Target.substr(0, Target.find('?'));
  const std::string_view Prefix = Inner ? InnerPrefix : PublicPrefix;
  if (Target.substr(0, Prefix.size()) != Prefix)
    return std::nullopt;
  Target.remove_prefix(Prefix.size());
  const std::size_t End = Target.find('/');
  Path Out{ServiceName(std::string(Target.substr(0, End))), {}};
  if (Inner)
    return End == std::string_view::npos ? std::optional(Out) : std::nullopt;
  if (End == std::string_view::npos)
    return std::nullopt;
  Target.remove_prefix(End);
  if (Target.substr(0, PublicMiddle.size()) != PublicMiddle)
    return std::nullopt;
  Target.remove_prefix(PublicMiddle.size());
  if (Target.empty())
    return Out;
  if (Target.front() != '/' || Target.size() == 1)
    return std::nullopt;
  Out.Key_ = std::string(Target.substr(1));
  return Out;
}

net::HttpRequest plain(const HttpMessage &Message) {
  net::HttpRequest Out{std::string(Message.method_string()),
                       std::string(Message.target()),
                       {},
                       Message.body()};
  for (const auto &Field : Message)
    Out.Headers_.add(std::string(Field.name_string()),
                     std::string(Field.value()));
  return Out;
}

Verdict unknown(std::string Reason) {
  return {Outcome::Unknown, std::move(Reason), true, nullptr, false};
}

Outcome outcomeOf(std::string_view Text) {
  if (Text == text(Outcome::Done))
    return Outcome::Done;
  return Text == text(Outcome::NotRun) ? Outcome::NotRun : Outcome::Unknown;
}

unsigned statusOf(const Findings &All, bool KnownService) {
  if (!KnownService)
    return 404;
  const bool BodyTooLarge = std::any_of(
      All.items().begin(), All.items().end(),
      [](const Finding &Each) { return Each.Place_.File_ == "body"; });
  return BodyTooLarge ? 413 : 400;
}

constexpr std::array<const char *, 4> VerbNames{"submit", "look_up", "cancel",
                                                "refuse"};

} // namespace

std::uint64_t Router::bodyLimit(std::string_view Target) const {
  if (Target.starts_with("/internal/"))
    return InnerBodyBytes;
  const std::optional<Path> Of = readPath(Target, false);
  if (Of && Config_)
    for (const config::Service &Each : Config_->Environment_.Services_)
      if (Each.Name_ == Of->Service_)
        return ReadPastLimit * Each.Policy_.BodyBytes_;
  return ReadPastLimit * config::ServicePolicy().BodyBytes_;
}

Awaitable<void> Router::refuseTooLarge(CallerStream From) {
  Findings All;
  All.add({"body", 0, 0}, "over the limit of the service");
  Counts_.BadInput_.add();
  co_await writeWhole(*From, findingsResponse(413, All, Outcome::NotRun), true);
}

void Router::readSubmit(const net::HttpRequest &Message,
                        const ServiceName &Service, Ask &Into) {
  OpenRequest &Open = *Into.Open_;
  Open.Body_ = Message.Body_;
  const auto Read =
      Reader_.read(Message, Service, Config_->Environment_, Into.Findings_);
  if (Read) {
    Open.Asked_ = *Read;
    return;
  }
  Into.Status_ = statusOf(Into.Findings_, executor(Service) != nullptr);
  const auto Key = Message.Headers_.find("Idempotency-Key");
  const auto Parts = Key ? parseKey(IdempotencyKey(*Key)) : std::nullopt;
  Into.Hopeless_ =
      !Parts || !executor(Service) || Parts->Domain_ != Own_.Domain_;
  Into.Verb_ = Verb::Refuse;
  if (!Into.Hopeless_)
    Open.Asked_ = {Service,
                   MethodClass::Once,
                   IdempotencyKey(*Key),
                   Parts->Minted_,
                   1,
                   Time_.now() + QuestionTime};
}

void Router::readQuestion(const ServiceName &Service, const std::string &Key,
                          Ask &Into) {
  const auto Parts = parseKey(IdempotencyKey(Key));
  if (!executor(Service))
    Into.Findings_.add({"service", 0, 0},
                       "unknown service '" + Service.value() + "'");
  if (!Parts)
    Into.Findings_.add({"key", 0, 0}, "malformed",
                       "{failure domain}-{unix milliseconds}-{random}");
  Into.Hopeless_ = !Into.Findings_.empty();
  Into.Status_ = executor(Service) ? 400 : 404;
  if (!Into.Hopeless_)
    Into.Open_->Asked_ = {
        Service,        MethodClass::Once, IdempotencyKey(Key),
        Parts->Minted_, UINT32_MAX,        Time_.now() + QuestionTime};
}

Router::Ask Router::read(const HttpMessage &Message, CallerStream From,
                         bool Inner) {
  Ask Out;
  Out.Inner_ = Inner;
  Out.Open_ = std::make_shared<OpenRequest>(Io_);
  Out.Open_->Caller_ = std::move(From);
  const std::string_view Target(Message.target().data(),
                                Message.target().size());
  const std::optional<Path> At = readPath(Target, Inner);
  const net::HttpRequest Plain = plain(Message);
  Out.Traceparent_ = Plain.Headers_.find("traceparent").value_or("");
  const std::string Inside =
      Inner ? Plain.Headers_.find("Medlarmoor-Verb").value_or("submit") : "";
  const bool Submits = At && At->Key_.empty() && Plain.Method_ == "POST" &&
                       (!Inner || Inside == "submit");
  const bool Asks =
      At && !Submits &&
      (Inner || Plain.Method_ == "GET" || Plain.Method_ == "DELETE") &&
      (Inner || !At->Key_.empty());
  if (!Config_ || (!Submits && !Asks)) {
    Out.Findings_.add({Plain.Target_, 0, 0},
                      Config_ ? "no such resource" : "no configuration yet");
    Out.Status_ = Config_ ? 404 : 503;
    Out.Hopeless_ = true;
    return Out;
  }
  if (Submits) {
    readSubmit(Plain, At->Service_, Out);
    return Out;
  }
  Out.Verb_ = Plain.Method_ == "DELETE" ? Verb::Cancel : Verb::LookUp;
  for (std::size_t I = 0; Inner && I < VerbNames.size(); ++I)
    if (Inside == VerbNames[I])
      Out.Verb_ = static_cast<Verb>(I);
  readQuestion(At->Service_,
               Inner ? Plain.Headers_.find("Idempotency-Key").value_or("")
                     : At->Key_,
               Out);
  return Out;
}

Awaitable<bool> Router::answerCaller(HttpMessage Message, CallerStream From,
                                     bool Close) {
  co_return co_await answer(read(Message, std::move(From), false), Close);
}

Awaitable<bool> Router::answerEntry(HttpMessage Message, CallerStream From,
                                    bool Close) {
  const std::optional<EntryName> Sender = sender(Message);
  if (!Sender)
    co_return co_await writeWhole(*From, jsonResponse(401, "{}"), Close);
  if (Message.target() == "/internal/ledger")
    co_return co_await writeWhole(*From, takeCopies(Message, *Sender), Close);
  if (Message.target() == "/internal/handover")
    co_return co_await writeWhole(*From, takeHandover(Message), Close);
  co_return co_await answer(read(Message, std::move(From), true), Close);
}

Awaitable<bool> Router::answer(Ask Of, bool Close) {
  Of.Open_->Close_ = Close;
  const Hop Trace = Traces_.arrive(Of.Traceparent_);
  Of.Open_->Trace_ = Trace.Context_;
  Verdict With{Outcome::NotRun, "bad_input", false, nullptr, false};
  const bool Passed = !Of.Hopeless_ && co_await settle(Of, With, Close);
  const bool Fine = Passed ? !Of.Broken_ : co_await respond(Of, With, Close);
  Traces_.end(Trace, Of.Inner_ ? "request.dispatch" : "request.serve",
              telemetry::SpanKind::Server,
              {{"key", Of.Open_->Asked_.Key_.value()},
               {"outcome", text(With.Outcome_)},
               {"reason", With.Reason_}},
              Fine ? "" : "connection_lost");
  co_return Fine;
}

Awaitable<bool> Router::settle(Ask &Of, Verdict &Into, bool Close) {
  const Submission &Asked = Of.Open_->Asked_;
  const auto Parts = parseKey(Asked.Key_);
  const bool Foreign = Parts && Parts->Domain_ != Own_.Domain_ &&
                       Asked.Class_ == MethodClass::Once;
  Into = unknown(Foreign ? "key_of_another_failure_domain"
                         : "dispatcher_unreachable");
  const TimePoint Until = std::min(Asked.Deadline_, Time_.now() + SearchTime);
  while (!Foreign && Time_.now() < Until && Of.Open_->Caller_) {
    Office_.check();
    const membership::Member *To = Office_.dispatcher(Asked.Service_);
    DispatchExecutor *Here = executor(Asked.Service_);
    const bool Mine = To && To->Name_ == Self_.Name_;
    if (Here && Mine && !Office_.suspended()) {
      Into = co_await here(Of, *Here);
      if (!Into.Moved_ || Of.Inner_)
        co_return false;
    } else if (Of.Inner_) {
      Into.Moved_ = true;
      co_return false;
    } else if (To && !Mine) {
      if (co_await there(Of, *To, Into, Close))
        co_return true;
      if (!Into.Moved_)
        co_return false;
    }
    Into = unknown("dispatcher_unreachable");
    co_await pause(SearchPause);
  }
  co_return false;
}

Awaitable<Verdict> Router::here(Ask &Of, DispatchExecutor &At) {
  const std::shared_ptr<DispatchExecutor> Kept = At.shared_from_this();
  if (Of.Verb_ == Verb::LookUp)
    co_return At.decisions().lookUp(Of.Open_->Asked_.Key_);
  if (Of.Verb_ != Verb::Submit)
    co_return co_await At.refuse(Of.Open_, Of.Verb_ == Verb::Cancel);
  watch(Of.Open_, [Kept, Open = Of.Open_] { Kept->withdraw(Open); });
  Of.Open_->Verdict_.reset();
  co_return co_await At.serve(Of.Open_);
}

Awaitable<bool> Router::there(Ask &Of, membership::Member To, Verdict &Into,
                              bool Close) {
  const auto Opened = std::make_shared<ConnectionPtr>();
  const CallerStream Caller = Of.Open_->Caller_;
  watch(Of.Open_, [Opened, Open = Of.Open_] {
    Open->Caller_.reset();
    if (*Opened)
      (*Opened)->Stream_.close();
  });
  Counts_.Forwarded_.add();
  const Hop Trace = Traces_.below(Of.Open_->Trace_);
  const HttpMessage Message = forwarded(Of, To, Trace);
  const Nanos Left = Of.Open_->Asked_.Deadline_ - Time_.now() + Seconds(1);
  const auto Listed = Forwards_.insert(Forwards_.end(), {To.Name_, Opened});
  const CallResult Got = co_await call(
      Pool_,
      {Endpoint(To.Address_, Own_.Ports_.Internal_),
       std::chrono::steady_clock::now() + Left, false, PeerSilence},
      Message, *Opened);
  Forwards_.erase(Listed);
  Traces_.end(Trace, "request.forward", telemetry::SpanKind::Client,
              {{"to", To.Name_.value()}}, Got.Answer_ ? "" : "no_answer");
  Into.Moved_ = true;
  if (!Got.Answer_ || (Got.Answer_->Whole_ && (Got.Answer_->status() == 421 ||
                                               Got.Answer_->status() == 401)))
    co_return false;
  Into.Outcome_ = outcomeOf(Got.Answer_->field("Medlarmoor-Outcome"));
  Into.Moved_ = false;
  if (!Of.Findings_.empty() || !Of.Open_->Caller_)
    co_return false;
  count(Into);
  Of.Broken_ = !co_await relay(*Got.Answer_, Caller.get(), {}, Close);
  co_return true;
}

HttpMessage Router::forwarded(const Ask &Of, const membership::Member &To,
                              const Hop &Trace) {
  const OpenRequest &Open = *Of.Open_;
  HttpMessage Out(http::verb::post,
                  std::string(InnerPrefix) + Open.Asked_.Service_.value(), 11);
  Out.set(http::field::host, To.Address_.text());
  Out.set("Medlarmoor-Verb", VerbNames[static_cast<std::size_t>(Of.Verb_)]);
  Out.set("Idempotency-Key", Open.Asked_.Key_.value());
  Out.set("Medlarmoor-Class", text(Open.Asked_.Class_));
  Out.set("Medlarmoor-Try", std::to_string(Open.Asked_.Try_));
  const auto Left =
      std::chrono::ceil<Millis>(Open.Asked_.Deadline_ - Time_.now());
  Out.set("Medlarmoor-Deadline-Ms", std::to_string(Left.count()));
  Out.set("traceparent", Trace.Context_.text());
  Out.body() = Open.Body_;
  Out.prepare_payload();
  sign(Out);
  return Out;
}

Awaitable<bool> Router::respond(const Ask &Of, const Verdict &With,
                                bool Close) {
  const OpenRequest &Open = *Of.Open_;
  const CallerStream To = Open.Caller_;
  count(With);
  if (Open.Started_)
    co_return !Open.Cut_;
  if (!To)
    co_return false;
  if (!Of.Findings_.empty()) {
    Counts_.BadInput_.add();
    co_return co_await writeWhole(
        *To, findingsResponse(Of.Status_, Of.Findings_, With.Outcome_), Close);
  }
  if (Of.Verb_ == Verb::LookUp)
    co_return co_await writeWhole(*To, lookUpResponse(With), Close);
  Verdict Whole = With;
  if (With.Outcome_ == Outcome::Done && Open.Whole_)
    Whole.Answer_ = std::make_shared<KeptAnswer>(KeptAnswer{*Open.Whole_});
  co_return co_await writeWhole(*To, responseTo(Whole), Close);
}

void Router::watch(const OpenRequestPtr &Of, std::function<void()> OnLeft) {
  const CallerStream From = Of->Caller_;
  From->socket().async_wait(
      asio::ip::tcp::socket::wait_read,
      [From, Of, OnLeft = std::move(OnLeft)](Error Stopped) {
        if (Stopped || Of->Verdict_ || !Of->Caller_)
          return;
        Error Ignored;
        if (From->socket().available(Ignored) == 0)
          OnLeft();
      });
}

Awaitable<void> Router::pause(Nanos Time) {
  asio::steady_timer Timer(Io_, Time);
  Error Ignored;
  co_await Timer.async_wait(into(Ignored));
}

} // namespace medlarmoor::request::internal
