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

/// Time for which a member that vanished still counts for majorities.
constexpr Millis QuorumSettleTime = Seconds(60);
constexpr unsigned TicksPerLoadPoll = 10;
constexpr Millis ListTimeout = Seconds(1);
/// Time after which a new entry stops waiting for the platform's list.
constexpr Millis MaxListWait = Seconds(10);

/// Returns the names of the live instances in the platform's list.
std::optional<std::vector<EntryName>> parseLiveNames(const std::string &Text) {
  const auto Parsed = nlohmann::json::parse(Text, nullptr, false);
  if (!Parsed.is_object() || !Parsed.contains("instances"))
    return std::nullopt;
  std::vector<EntryName> Names;
  for (const auto &Instance : Parsed["instances"]) {
    const bool Live = Instance.is_object() && Instance.contains("name") &&
                      Instance["name"].is_string() &&
                      Instance.contains("state") && Instance["state"] == "live";
    if (Live)
      Names.emplace_back(Instance["name"].get<std::string>());
  }
  return Names;
}

/// Returns the upstreams in the failure domain of this entry, or all upstreams
/// if it has none.
std::vector<config::Upstream> usedUpstreams(const config::Service &Service,
                                            const DomainName &OwnDomain) {
  std::vector<config::Upstream> Used;
  for (const config::Upstream &Candidate : Service.Upstreams_)
    if (Candidate.Domain_ == OwnDomain)
      Used.push_back(Candidate);
  return Used.empty() ? Service.Upstreams_ : Used;
}

} // namespace

Router::Router(asio::io_context &Io, const config::Settings &Settings,
               Clock Time, RequestMetrics &Metrics, telemetry::EventLog &Log,
               telemetry::SpanLog &Spans, Random Source)
    : Io_(Io), Settings_(Settings), Time_(Time), Metrics_(Metrics), Log_(Log),
      Tracer_(Spans, Time, Random(Source())),
      Source_(Source), Identity_{Settings.Name_, wire::drawIncarnation(
                                                     Time.wallNow(), Source_)},
      Seal_(Settings.Name_, Identity_.Incarnation_,
            wire::KeyRing(Settings.Keys_), Time),
      Ledger_(Settings.Requests_.MaxLedgerKeys_, Time),
      Role_(Settings.Name_, Settings.Membership_.Lease_, Time),
      Quorum_(Settings.Name_, QuorumSettleTime, Time),
      Pool_(Io, Settings.Address_),
      Replicator_(Io, Pool_, Settings.Ports_.Internal_,
                  [this](HttpMessage &Message) { sign(Message); }),
      Reader_(Settings.Domain_, Time, Random(Source_())),
      Started_(Time_.now()) {}

void Router::onConfig(config::ActiveConfigPtr Config) {
  Config_ = std::move(Config);
  std::erase_if(Executors_, [&](const auto &Existing) {
    const auto &Services = Config_->Environment_.Services_;
    const bool Removed = std::none_of(Services.begin(), Services.end(),
                                      [&](const config::Service &Service) {
                                        return Service.Name_ == Existing.first;
                                      });
    return Removed && Existing.second->dispatcher().open() == 0;
  });
  for (const config::Service &Service : Config_->Environment_.Services_) {
    std::shared_ptr<DispatchExecutor> &Executor = Executors_[Service.Name_];
    if (!Executor) {
      upstream::SlotPool Slots({}, Time_, Random(Source_()));
      DispatcherLimits Limits;
      Limits.Horizon_ = Settings_.Requests_.Horizon_;
      Executor = std::make_shared<DispatchExecutor>(
          Io_, Pool_, Replicator_, Metrics_, Tracer_,
          Dispatcher(Identity_, Limits, Ledger_, Role_, Quorum_,
                     std::move(Slots), Time_, Random(Source_())),
          Time_);
    }
    Executor->configure(Service, usedUpstreams(Service, Settings_.Domain_));
  }
}

void Router::onView(membership::ViewPtr View) {
  Quorum_.onView(View);
  Role_.onView(std::move(View));
  updateRoles();
  abortStaleForwards();
}

void Router::abortStaleForwards() {
  for (const PendingForward &Pending : Forwards_)
    if (!Quorum_.isMember(Pending.Dispatcher_) && *Pending.Connection_)
      (*Pending.Connection_)->Stream_.close();
}

void Router::leave() {
  Leaving_ = true;
  Role_.leave();
  updateRoles();
}

void Router::updateRoles() {
  if (Role_.suspended())
    return Dispatched_.clear();
  for (const auto &[Name, Executor] : Executors_) {
    if (Role_.isDispatcher(Name)) {
      Dispatched_[Name] =
          std::max(Role_.decidesFrom(Name), Quorum_.majoritySince());
      Handoffs_.erase(Name);
    } else if (const auto Lost = Dispatched_.find(Name);
               Lost != Dispatched_.end()) {
      Executor->redirectQueued();
      if (Quorum_.isMember(Identity_.Name_))
        Handoffs_[Name] = {Lost->second, false};
      Dispatched_.erase(Lost);
    }
  }
  for (auto &[Name, Handoff] : Handoffs_)
    sendHandoff(Name, Handoff);
}

void Router::sendHandoff(const ServiceName &Service, PendingHandoff &Handoff) {
  const membership::Member *Successor = Role_.dispatcher(Service);
  if (Handoff.Sending_ || !Successor || Successor->Name_ == Identity_.Name_)
    return;
  Handoff.Sending_ = true;
  Log_.info("ledger_handover",
            {{"service", Service.value()}, {"to", Successor->Name_.value()}});
  Replicator_.handOff(
      *Successor,
      {Service, Handoff.CompleteSince_, Ledger_.replicasForHandoff(Service)},
      [this, Service](bool Accepted) {
        const auto Found = Handoffs_.find(Service);
        if (Found == Handoffs_.end())
          return;
        Found->second.Sending_ = false;
        if (Accepted)
          Handoffs_.erase(Found);
      });
}

bool Router::handoffComplete() const {
  const bool Alone = Role_.view().homeWithout(0, Identity_.Name_) == nullptr;
  if (!Leaving_ || (!Handoffs_.empty() && !Alone))
    return false;
  return std::all_of(Executors_.begin(), Executors_.end(),
                     [](const auto &Existing) {
                       return Existing.second->dispatcher().open() == 0;
                     });
}

void Router::tick() {
  Role_.checkClock();
  refreshMemberList();
  Quorum_.tick();
  Ledger_.expire();
  updateRoles();
  std::size_t Waiting = 0;
  const bool Poll = ++Ticks_ % TicksPerLoadPoll == 0;
  for (const auto &[Name, Executor] : Executors_) {
    Executor->tick();
    Waiting += Executor->dispatcher().waiting();
    if (Poll && Dispatched_.contains(Name))
      Executor->pollLoads();
  }
  Metrics_.Waiting_.set(static_cast<std::int64_t>(Waiting));
  Metrics_.LedgerKeys_.set(static_cast<std::int64_t>(Ledger_.size()));
}

DispatchExecutor *Router::executor(const ServiceName &Name) {
  const auto Found = Executors_.find(Name);
  return Found == Executors_.end() ? nullptr : Found->second.get();
}

void Router::countOutcome(const Verdict &Result) {
  if (Result.Outcome_ == Outcome::Done)
    Metrics_.Done_.add();
  else if (Result.Outcome_ == Outcome::NotRun)
    Metrics_.NotRun_.add();
  else
    Metrics_.Unknown_.add();
}

void Router::sign(HttpMessage &Message) {
  Message.set("Medlarmoor-Entry", Identity_.Name_.value());
  Message.set(wire::SealHeader, Seal_.sign(Message.method_string(),
                                           Message.target(), Message.body()));
}

std::optional<EntryName> Router::verifySender(const HttpMessage &Message) {
  if (Settings_.Keys_.empty())
    return EntryName(std::string(Message["Medlarmoor-Entry"]));
  auto Sender = Seal_.verify(Message[wire::SealHeader], Message.method_string(),
                             Message.target(), Message.body());
  if (!Sender)
    Metrics_.UnverifiedMessages_.add();
  return Sender;
}

void Router::refreshMemberList() {
  if (!Quorum_.needsPlatformList())
    return;
  const bool Unavailable =
      Settings_.Platform_ == Endpoint() || Time_.now() - Started_ > MaxListWait;
  if (Unavailable)
    Quorum_.proceedWithoutList();
  const bool Due =
      Time_.now() - ListRequested_ > Settings_.Membership_.ListPeriod_;
  if (!Due || Settings_.Platform_ == Endpoint())
    return;
  ListRequested_ = Time_.now();
  asio::co_spawn(Io_, fetchMemberList(), asio::detached);
}

Awaitable<void> Router::fetchMemberList() {
  HttpMessage Message(http::verb::get,
                      "/v1/instances?domain=" + Settings_.Domain_.value(), 11);
  Message.set(http::field::host, Settings_.Platform_.text());
  ConnectionPtr InUse;
  const CallResult Result =
      co_await call(Pool_,
                    {Settings_.Platform_,
                     std::chrono::steady_clock::now() + ListTimeout,
                     true,
                     {}},
                    Message, InUse);
  if (!Result.Answer_ || !Result.Answer_->Complete_ ||
      Result.Answer_->status() != 200)
    co_return;
  if (const auto Names = parseLiveNames(Result.Answer_->BodyPrefix_))
    Quorum_.onPlatformList(*Names);
}

net::HttpResponse Router::acceptReplicas(const HttpMessage &Message,
                                         const EntryName &Sender) {
  const auto Replicas = decodeReplicas(Message.body());
  if (!Replicas)
    return jsonResponse(400, "[]");
  std::vector<ReplicaAnswer> Answers;
  for (const RecordReplica &Replica : *Replicas)
    Answers.push_back(Quorum_.isMember(Sender) ? Ledger_.storeReplica(Replica)
                                               : ReplicaAnswer::Refused);
  return jsonResponse(200, encode(Answers));
}

net::HttpResponse Router::acceptHandoff(const HttpMessage &Message) {
  const auto Handoff = decodeHandoff(Message.body());
  if (!Handoff)
    return jsonResponse(400, "{}");
  for (const RecordReplica &Received : Handoff->Records_)
    Ledger_.adopt(Received);
  Role_.onHandoff(Handoff->Service_, Handoff->CompleteSince_);
  return jsonResponse(200, "{}");
}

std::string Router::explain(const IdempotencyKey &Key) {
  nlohmann::ordered_json Explanation;
  Explanation["key"] = Key.value();
  if (Config_)
    Explanation["version"] = Config_->Version_.value();
  const Record *Found = Ledger_.find(Key);
  if (!Found) {
    Explanation["rule"] =
        "no record at this entry: the key was never submitted, its record "
        "expired after the horizon, or another entry dispatches it";
    return Explanation.dump();
  }
  static constexpr std::array States{"accepted", "dispatched", "done",
                                     "not_run", "unknown"};
  Explanation["service"] = Found->Service_.value();
  Explanation["state"] = States[static_cast<std::size_t>(Found->State_)];
  Explanation["dispatcher"] = Found->Dispatcher_.value();
  Explanation["rule"] = Found->Dispatcher_ == Identity_.Name_
                            ? "judged by this entry"
                            : "copy held for its dispatcher";
  Explanation["reason"] = Found->Reason_;
  Explanation["try"] = Found->Try_;
  return Explanation.dump();
}

} // namespace medlarmoor::request::internal
