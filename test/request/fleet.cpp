#include <medlarmoor/request/dispatcher_role.hpp>
#include <medlarmoor/request/submission_reader.hpp>
#include <medlarmoor/telemetry/span_log.hpp>
#include <request/fleet.hpp>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

namespace medlarmoor::test {

namespace {

const ServiceName Seal("seal");
constexpr std::uint16_t UpstreamPort = 8000;

/// Waits until the thread has received the messages that were pushed before.
/// Its event loop polls the mailboxes between any two queries and handles their
/// messages before it answers the third.
void awaitDelivered(request::RequestThread &Thread) {
  constexpr int Queries = 3;
  for (int I = 0; I < Queries; ++I)
    static_cast<void>(Thread.explain("seeb-0-0"));
}

} // namespace

struct FakeUpstream::Impl {
  Impl(Endpoint Address, net::HttpHandler Handler)
      : Server_(Io_, Address, std::move(Handler)) {}

  boost::asio::io_context Io_;
  net::HttpServer Server_;
};

FakeUpstream::FakeUpstream(Endpoint Address, Handler Respond,
                           Millis ServiceTime)
    : Endpoint_(Address), Respond_(std::move(Respond)),
      ServiceTime_(ServiceTime),
      Impl_(std::make_unique<Impl>(
          Address,
          [this](const net::HttpRequest &Request, const net::HttpReply &Reply) {
            onRun(Request, Reply);
          })) {
  if (!Impl_->Server_.listen())
    throw std::runtime_error(Impl_->Server_.lastReason());
  Thread_ = std::thread([this] {
    const auto Work = boost::asio::make_work_guard(Impl_->Io_);
    Impl_->Io_.run();
  });
}

FakeUpstream::~FakeUpstream() {
  Impl_->Io_.stop();
  Thread_.join();
}

int FakeUpstream::runs(const std::string &Key) {
  const std::lock_guard Guard(Lock_);
  return Runs_[Key];
}

void FakeUpstream::onRun(const net::HttpRequest &Request,
                         const net::HttpReply &Reply) {
  if (Request.path() != "/run")
    return Reply({404, {}, ""});
  {
    const std::lock_guard Guard(Lock_);
    ++Runs_[*Request.Headers_.find("Idempotency-Key")];
  }
  MaxConcurrent_ = std::max<int>(MaxConcurrent_, ++Concurrent_);
  const auto Timer =
      std::make_shared<boost::asio::steady_timer>(Impl_->Io_, ServiceTime_);
  Timer->async_wait([this, Timer, Request, Reply](boost::system::error_code) {
    --Concurrent_;
    answer(Request, Reply);
  });
}

void FakeUpstream::answer(const net::HttpRequest &Request,
                          const net::HttpReply &Reply) {
  if (Respond_)
    return Respond_(Request, Reply);
  net::HttpResponse Response{
      200, {}, "ran " + *Request.Headers_.find("Idempotency-Key")};
  Response.Headers_.add("Medlarmoor-Attempt",
                        *Request.Headers_.find("Medlarmoor-Attempt"));
  Reply(std::move(Response));
}

struct Fleet::Entry {
  explicit Entry(config::Settings Settings) : Settings_(std::move(Settings)) {}

  config::Settings Settings_;
  Mailbox<config::ActiveConfigPtr> Config_{64};
  Mailbox<membership::ViewPtr> Views_{64};
  telemetry::Registry Metrics_;
  telemetry::EventLog Log_{"test", "ERROR"};
  telemetry::SpanLog Spans_{"test", "/dev/null"};
  std::unique_ptr<request::RequestThread> Thread_;
};

Fleet::Fleet(std::size_t Entries) : Net_(*harness::Subnet::acquire()) {
  for (std::size_t I = 0; I < Entries; ++I) {
    config::Settings Settings;
    Settings.Name_ = EntryName("entry" + std::to_string(I));
    Settings.Domain_ = DomainName("seeb");
    Settings.Address_ = Net_.address(1, static_cast<std::uint8_t>(I + 1));
    Settings.Environment_ = "test";
    Entries_.push_back(std::make_unique<Entry>(std::move(Settings)));
  }
  Service_.Name_ = Seal;
}

Fleet::~Fleet() = default;

FakeUpstream &Fleet::addUpstream(FakeUpstream::Handler Respond,
                                 std::uint32_t Slots, Millis ServiceTime) {
  const Endpoint Address = reserveUpstream(Slots);
  Upstreams_.push_back(
      std::make_unique<FakeUpstream>(Address, std::move(Respond), ServiceTime));
  return *Upstreams_.back();
}

Endpoint Fleet::reserveUpstream(std::uint32_t Slots) {
  const auto Number = static_cast<std::uint8_t>(Service_.Upstreams_.size() + 1);
  config::Upstream Upstream;
  Upstream.Name_ = UpstreamName("u" + std::to_string(Number));
  Upstream.Domain_ = DomainName("seeb");
  Upstream.Requests_ = Endpoint(Net_.address(2, Number), UpstreamPort);
  Upstream.Slots_ = Slots;
  Service_.Upstreams_.push_back(Upstream);
  return Upstream.Requests_;
}

void Fleet::start(config::ServicePolicy Policy) {
  Service_.Policy_ = Policy;
  auto Config = std::make_shared<config::ActiveConfig>();
  Config->Version_ = ConfigVersion(1);
  Config->Environment_.Name_ = "test";
  Config->Environment_.Domains_ = {
      {DomainName("seeb"), RegionName("muscat")},
      {DomainName("bawshar"), RegionName("muscat")}};
  Config->Environment_.Services_ = {Service_};
  std::vector<std::size_t> All;
  for (std::size_t I = 0; I < Entries_.size(); ++I)
    All.push_back(I);
  for (std::size_t I = 0; I < Entries_.size(); ++I) {
    Entry &Started = *Entries_[I];
    Started.Thread_ = std::make_unique<request::RequestThread>(
        Started.Settings_, Started.Config_, Started.Views_, Clock(),
        Started.Metrics_, Started.Log_, Started.Spans_);
    if (!Started.Thread_->start())
      throw std::runtime_error(Started.Thread_->lastReason());
    if (!Started.Config_.push(Config))
      throw std::runtime_error("configuration mailbox of the entry is full");
    setView(I, All);
  }
  for (const auto &Running : Entries_)
    awaitDelivered(*Running->Thread_);
  // Keys that are minted before the ledgers of the entries cover them get the
  // outcome unknown.
  std::this_thread::sleep_for(request::MaxClockSkew + Millis(100));
}

membership::View Fleet::viewOf(std::size_t Self,
                               const std::vector<std::size_t> &Members,
                               std::optional<std::size_t> Leaving) const {
  std::vector<membership::Member> Listed;
  Listed.reserve(Members.size());
  for (const std::size_t I : Members)
    Listed.push_back({Entries_[I]->Settings_.Name_,
                      Entries_[I]->Settings_.Address_,
                      I == Leaving ? membership::MemberState::Leaving
                                   : membership::MemberState::Live});
  return {Entries_[Self]->Settings_.Name_, Listed};
}

void Fleet::setView(std::size_t Index, const std::vector<std::size_t> &Members,
                    std::optional<std::size_t> Leaving) {
  if (!Entries_[Index]->Views_.push(
          std::make_shared<membership::View>(viewOf(Index, Members, Leaving))))
    throw std::runtime_error("view mailbox of the entry is full");
}

void Fleet::crash(std::size_t Index) { Entries_[Index]->Thread_.reset(); }

std::size_t Fleet::dispatcher() const {
  std::vector<std::size_t> All;
  for (std::size_t I = 0; I < Entries_.size(); ++I)
    All.push_back(I);
  const membership::View View = viewOf(0, All);
  for (const std::size_t I : All)
    if (Entries_[I]->Settings_.Name_ ==
        View.home(request::homeKey(Seal))->Name_)
      return I;
  return 0;
}

std::size_t Fleet::successor() const {
  std::vector<std::size_t> All;
  for (std::size_t I = 0; I < Entries_.size(); ++I)
    All.push_back(I);
  const membership::View View = viewOf(0, All);
  const EntryName Successor =
      View.homeCandidates(request::homeKey(Seal)).at(1)->Name_;
  for (const std::size_t I : All)
    if (Entries_[I]->Settings_.Name_ == Successor)
      return I;
  return 0;
}

request::RequestThread &Fleet::entry(std::size_t Index) {
  return *Entries_[Index]->Thread_;
}

telemetry::Registry &Fleet::metrics(std::size_t Index) {
  return Entries_[Index]->Metrics_;
}

std::string Fleet::mintKey() {
  return "seeb-" +
         std::to_string(Clock().wallNow().time_since_epoch().count()) + "-" +
         std::to_string(NextKey_++);
}

net::HttpResponse Fleet::send(std::size_t Index, net::HttpRequest Request) {
  std::string Reason;
  const config::Settings &Settings = Entries_[Index]->Settings_;
  const auto Response =
      net::httpCall({Settings.Address_, Settings.Ports_.Requests_},
                    std::move(Request), Seconds(10), Reason);
  return Response ? *Response : net::HttpResponse{0, {}, Reason};
}

net::HttpResponse Fleet::submit(std::size_t Index, std::string Key,
                                std::string Class, int DeadlineMs,
                                std::string Body) {
  net::HttpRequest Request{
      "POST", "/v1/services/seal/requests", {}, std::move(Body)};
  Request.Headers_.add("Idempotency-Key", std::move(Key));
  Request.Headers_.add("Medlarmoor-Class", std::move(Class));
  Request.Headers_.add("Medlarmoor-Deadline-Ms", std::to_string(DeadlineMs));
  return send(Index, std::move(Request));
}

std::string header(const net::HttpResponse &Response, std::string_view Name) {
  return Response.Headers_.find(Name).value_or("-");
}

bool eventually(const std::function<bool()> &Condition) {
  const auto Deadline = std::chrono::steady_clock::now() + Seconds(5);
  while (std::chrono::steady_clock::now() < Deadline) {
    if (Condition())
      return true;
    std::this_thread::sleep_for(Millis(5));
  }
  return Condition();
}

} // namespace medlarmoor::test
