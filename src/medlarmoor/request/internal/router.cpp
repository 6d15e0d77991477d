#include <medlarmoor/request/internal/responses.hpp>
#include <medlarmoor/request/internal/router.hpp>
#include <medlarmoor/request/key_parts.hpp>
#include <medlarmoor/telemetry/event_log.hpp>
#include <medlarmoor/wire/incarnation.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include <nlohmann/json.hpp>

namespace medlarmoor::request::internal {

namespace {

/// How long a member that vanished still counts for majorities.
constexpr Millis SettleTime = Seconds(60);
constexpr unsigned TicksPerLoadPoll = 10;
constexpr Millis ListTime = Seconds(1);
/// A new entry does without the platform's list after this long.
constexpr Millis LongestWait = Seconds(10);

/// The live instances of the platform's list.
std::optional<std::vector<EntryName>> readNames(const std::string &Text) {
  const auto From = nlohmann::json::parse(Text, nullptr, false);
  if (!From.is_object() || !From.contains("instances"))
    return std::nullopt;
  std::vector<EntryName> Out;
  for (const auto &Each : From["instances"]) {
    const bool Live = Each.is_object() && Each.contains("name") &&
                      Each["name"].is_string() && Each.contains("state") &&
                      Each["state"] == "live";
    if (Live)
      Out.emplace_back(Each["name"].get<std::string>());
  }
  return Out;
}

std::vector<config::Upstream> usedUpstreams(const config::Service &Of,
                                            const DomainName &Own) {
  std::vector<config::Upstream> Out;
  for (const config::Upstream &Each : Of.Upstreams_)
    if (Each.Domain_ == Own)
      Out.push_back(Each);
  return Out.empty() ? Of.Upstreams_ : Out;
}

} // namespace

Router::Router(asio::io_context &Io, const config::Settings &Own, Clock Time,
               RequestMetrics &Counts, telemetry::EventLog &Log,
               telemetry::SpanLog &Spans, Random Source)
    : Io_(Io), Own_(Own), Time_(Time), Counts_(Counts), Log_(Log),
      Traces_(Spans, Time, Random(Source())),
      Source_(Source), Self_{Own.Name_,
                             wire::drawIncarnation(Time.wallNow(), Source_)},
      Seal_(Own.Name_, Self_.Run_, wire::KeyRing(Own.Keys_), Time),
      Known_(Own.Requests_.LedgerKeys_, Time),
      Office_(Own.Name_, Own.Membership_.Lease_, Time),
      Members_(Own.Name_, SettleTime, Time), Pool_(Io, Own.Address_),
      Others_(Io, Pool_, Own.Ports_.Internal_,
              [this](HttpMessage &Message) { sign(Message); }),
      Reader_(Own.Domain_, Time, Random(Source_())), Started_(Time_.now()) {}

void Router::onConfig(config::InForcePtr Now) {
  Config_ = std::move(Now);
  std::erase_if(Executors_, [&](const auto &Each) {
    const auto &All = Config_->Environment_.Services_;
    const bool Gone =
        std::none_of(All.begin(), All.end(), [&](const config::Service &Of) {
          return Of.Name_ == Each.first;
        });
    return Gone && Each.second->decisions().open() == 0;
  });
  for (const config::Service &Each : Config_->Environment_.Services_) {
    std::shared_ptr<DispatchExecutor> &Of = Executors_[Each.Name_];
    if (!Of) {
      upstream::SlotPool Slots({}, Time_, Random(Source_()));
      DispatcherLimits Limits;
      Limits.Horizon_ = Own_.Requests_.Horizon_;
      Of = std::make_shared<DispatchExecutor>(
          Io_, Pool_, Others_, Counts_, Traces_,
          Dispatcher(Self_, Limits, Known_, Office_, Members_, std::move(Slots),
                     Time_, Random(Source_())),
          Time_);
    }
    Of->configure(Each, usedUpstreams(Each, Own_.Domain_));
  }
}

void Router::onView(membership::ViewPtr Now) {
  Members_.onView(Now);
  Office_.onView(std::move(Now));
  reviewRoles();
  reviewForwards();
}

void Router::reviewForwards() {
  for (const Forward &Each : Forwards_)
    if (!Members_.isMember(Each.To_) && *Each.Opened_)
      (*Each.Opened_)->Stream_.close();
}

void Router::leave() {
  Leaving_ = true;
  Office_.leave();
  reviewRoles();
}

void Router::reviewRoles() {
  if (Office_.suspended())
    return Dispatched_.clear();
  for (const auto &[Name, Of] : Executors_) {
    if (Office_.isDispatcher(Name)) {
      Dispatched_[Name] = std::max(Office_.judgesFrom(Name), Members_.since());
      Exits_.erase(Name);
    } else if (const auto At = Dispatched_.find(Name);
               At != Dispatched_.end()) {
      Of->moveOn();
      if (Members_.isMember(Self_.Name_))
        Exits_[Name] = {At->second, false};
      Dispatched_.erase(At);
    }
  }
  for (auto &[Name, Of] : Exits_)
    handOn(Name, Of);
}

void Router::handOn(const ServiceName &Service, Exit &Of) {
  const membership::Member *To = Office_.dispatcher(Service);
  if (Of.Sending_ || !To || To->Name_ == Self_.Name_)
    return;
  Of.Sending_ = true;
  Log_.info("ledger_handover",
            {{"service", Service.value()}, {"to", To->Name_.value()}});
  Others_.handOver(*To, {Service, Of.From_, Known_.copies(Service)},
                   [this, Service](bool Taken) {
                     const auto At = Exits_.find(Service);
                     if (At == Exits_.end())
                       return;
                     At->second.Sending_ = false;
                     if (Taken)
                       Exits_.erase(At);
                   });
}

bool Router::handoffComplete() const {
  const bool Alone = Office_.view().homeWithout(0, Self_.Name_) == nullptr;
  if (!Leaving_ || (!Exits_.empty() && !Alone))
    return false;
  return std::all_of(
      Executors_.begin(), Executors_.end(),
      [](const auto &Each) { return Each.second->decisions().open() == 0; });
}

void Router::tick() {
  Office_.check();
  readList();
  Members_.tick();
  Known_.expire();
  reviewRoles();
  std::size_t Waiting = 0;
  const bool Poll = ++Ticks_ % TicksPerLoadPoll == 0;
  for (const auto &[Name, Of] : Executors_) {
    Of->tick();
    Waiting += Of->decisions().waiting();
    if (Poll && Dispatched_.contains(Name))
      Of->pollLoads();
  }
  Counts_.Waiting_.set(static_cast<std::int64_t>(Waiting));
  Counts_.LedgerKeys_.set(static_cast<std::int64_t>(Known_.size()));
}

DispatchExecutor *Router::executor(const ServiceName &Name) {
  const auto At = Executors_.find(Name);
  return At == Executors_.end() ? nullptr : At->second.get();
}

void Router::count(const Verdict &Of) {
  if (Of.Outcome_ == Outcome::Done)
    Counts_.Done_.add();
  else if (Of.Outcome_ == Outcome::NotRun)
    Counts_.NotRun_.add();
  else
    Counts_.Unknown_.add();
}

void Router::sign(HttpMessage &Message) {
  Message.set("Medlarmoor-Entry", Self_.Name_.value());
  Message.set(wire::SealHeader, Seal_.sign(Message.method_string(),
                                           Message.target(), Message.body()));
}

std::optional<EntryName> Router::sender(const HttpMessage &Message) {
  if (Own_.Keys_.empty())
    return EntryName(std::string(Message["Medlarmoor-Entry"]));
  auto From = Seal_.verify(Message[wire::SealHeader], Message.method_string(),
                           Message.target(), Message.body());
  if (!From)
    Counts_.Unsigned_.add();
  return From;
}

void Router::readList() {
  if (!Members_.wantsList())
    return;
  const bool Hopeless =
      Own_.Platform_ == Endpoint() || Time_.now() - Started_ > LongestWait;
  if (Hopeless)
    Members_.introduce();
  const bool Due = Time_.now() - ListAsked_ > Own_.Membership_.ListPeriod_;
  if (!Due || Own_.Platform_ == Endpoint())
    return;
  ListAsked_ = Time_.now();
  asio::co_spawn(Io_, fetchList(), asio::detached);
}

Awaitable<void> Router::fetchList() {
  HttpMessage Message(http::verb::get,
                      "/v1/instances?domain=" + Own_.Domain_.value(), 11);
  Message.set(http::field::host, Own_.Platform_.text());
  ConnectionPtr Opened;
  const CallResult Got = co_await call(
      Pool_,
      {Own_.Platform_, std::chrono::steady_clock::now() + ListTime, true, {}},
      Message, Opened);
  if (!Got.Answer_ || !Got.Answer_->Whole_ || Got.Answer_->status() != 200)
    co_return;
  if (const auto Names = readNames(Got.Answer_->Head_))
    Members_.onListed(*Names);
}

net::HttpResponse Router::takeCopies(const HttpMessage &Message,
                                     const EntryName &From) {
  const auto Copies = decodeCopies(Message.body());
  if (!Copies)
    return jsonResponse(400, "[]");
  std::vector<CopyAnswer> Answers;
  for (const LedgerCopy &Each : *Copies)
    Answers.push_back(Members_.isMember(From) ? Known_.take(Each)
                                              : CopyAnswer::Refused);
  return jsonResponse(200, encode(Answers));
}

net::HttpResponse Router::takeHandover(const HttpMessage &Message) {
  const auto Whole = decodeHandover(Message.body());
  if (!Whole)
    return jsonResponse(400, "{}");
  for (const LedgerCopy &Each : Whole->Copies_)
    Known_.adopt(Each);
  Office_.onHandover(Whole->Service_, Whole->From_);
  return jsonResponse(200, "{}");
}

std::string Router::explain(const IdempotencyKey &Key) {
  nlohmann::ordered_json Out;
  Out["key"] = Key.value();
  if (Config_)
    Out["version"] = Config_->Version_.value();
  const Record *Found = Known_.find(Key);
  if (!Found) {
    Out["rule"] = "no record here: not submitted, forgotten after the horizon, "
                  "or judged by another entry";
    return Out.dump();
  }
  static constexpr std::array States{"accepted", "dispatched", "done",
                                     "not_run", "unknown"};
  Out["service"] = Found->Service_.value();
  Out["state"] = States[static_cast<std::size_t>(Found->State_)];
  Out["dispatcher"] = Found->Dispatcher_.value();
  Out["rule"] = Found->Dispatcher_ == Self_.Name_
                    ? "judged by this entry"
                    : "copy held for its dispatcher";
  Out["reason"] = Found->Reason_;
  Out["try"] = Found->Try_;
  return Out.dump();
}

} // namespace medlarmoor::request::internal
