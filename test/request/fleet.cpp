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

/// Waits until the thread has taken the messages that were pushed before. Its
/// event loop looks for them between any two questions, and handles them before
/// it answers the third.
void awaitTaken(request::RequestThread &Thread) {
  constexpr int Questions = 3;
  for (int I = 0; I < Questions; ++I)
    static_cast<void>(Thread.explain("seeb-0-0"));
}

} // namespace

struct FakeUpstream::Impl {
  Impl(Endpoint Where, net::HttpHandler Handler)
      : Server_(Io_, Where, std::move(Handler)) {}

  boost::asio::io_context Io_;
  net::HttpServer Server_;
};

FakeUpstream::FakeUpstream(Endpoint Where, Behave Answer, Millis Service)
    : Where_(Where), Answer_(std::move(Answer)), Service_(Service),
      Impl_(
          std::make_unique<Impl>(Where, [this](const net::HttpRequest &Request,
                                               const net::HttpReply &Reply) {
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
  MostAtOnce_ = std::max<int>(MostAtOnce_, ++AtOnce_);
  const auto Timer =
      std::make_shared<boost::asio::steady_timer>(Impl_->Io_, Service_);
  Timer->async_wait([this, Timer, Request, Reply](boost::system::error_code) {
    --AtOnce_;
    answer(Request, Reply);
  });
}

void FakeUpstream::answer(const net::HttpRequest &Request,
                          const net::HttpReply &Reply) {
  if (Answer_)
    return Answer_(Request, Reply);
  net::HttpResponse Out{
      200, {}, "ran " + *Request.Headers_.find("Idempotency-Key")};
  Out.Headers_.add("Medlarmoor-Attempt",
                   *Request.Headers_.find("Medlarmoor-Attempt"));
  Reply(std::move(Out));
}

struct Fleet::Entry {
  explicit Entry(config::Settings Own) : Own_(std::move(Own)) {}

  config::Settings Own_;
  Mailbox<config::InForcePtr> Config_{64};
  Mailbox<membership::ViewPtr> Views_{64};
  telemetry::Registry Metrics_;
  telemetry::EventLog Log_{"test", "ERROR"};
  telemetry::SpanLog Spans_{"test", "/dev/null"};
  std::unique_ptr<request::RequestThread> Thread_;
};

Fleet::Fleet(std::size_t Entries) : Net_(*harness::Subnet::acquire()) {
  for (std::size_t I = 0; I < Entries; ++I) {
    config::Settings Own;
    Own.Name_ = EntryName("entry" + std::to_string(I));
    Own.Domain_ = DomainName("seeb");
    Own.Address_ = Net_.address(1, static_cast<std::uint8_t>(I + 1));
    Own.Environment_ = "test";
    Entries_.push_back(std::make_unique<Entry>(std::move(Own)));
  }
  Service_.Name_ = Seal;
}

Fleet::~Fleet() = default;

FakeUpstream &Fleet::addUpstream(FakeUpstream::Behave Answer,
                                 std::uint32_t Slots, Millis Service) {
  const Endpoint Where = reserveUpstream(Slots);
  Upstreams_.push_back(
      std::make_unique<FakeUpstream>(Where, std::move(Answer), Service));
  return *Upstreams_.back();
}

Endpoint Fleet::reserveUpstream(std::uint32_t Slots) {
  const auto Number = static_cast<std::uint8_t>(Service_.Upstreams_.size() + 1);
  config::Upstream Of;
  Of.Name_ = UpstreamName("u" + std::to_string(Number));
  Of.Domain_ = DomainName("seeb");
  Of.Requests_ = Endpoint(Net_.address(2, Number), UpstreamPort);
  Of.Slots_ = Slots;
  Service_.Upstreams_.push_back(Of);
  return Of.Requests_;
}

void Fleet::start(config::ServicePolicy Policy) {
  Service_.Policy_ = Policy;
  auto Now = std::make_shared<config::InForce>();
  Now->Version_ = ConfigVersion(1);
  Now->Environment_.Name_ = "test";
  Now->Environment_.Domains_ = {{DomainName("seeb"), RegionName("muscat")},
                                {DomainName("bawshar"), RegionName("muscat")}};
  Now->Environment_.Services_ = {Service_};
  std::vector<std::size_t> All;
  for (std::size_t I = 0; I < Entries_.size(); ++I)
    All.push_back(I);
  for (std::size_t I = 0; I < Entries_.size(); ++I) {
    Entry &Each = *Entries_[I];
    Each.Thread_ = std::make_unique<request::RequestThread>(
        Each.Own_, Each.Config_, Each.Views_, Clock(), Each.Metrics_, Each.Log_,
        Each.Spans_);
    if (!Each.Thread_->start())
      throw std::runtime_error(Each.Thread_->lastReason());
    if (!Each.Config_.push(Now))
      throw std::runtime_error("mailbox full");
    see(I, All);
  }
  for (const auto &Each : Entries_)
    awaitTaken(*Each->Thread_);
  // Keys that are minted before the entries can vouch for them are unknown.
  std::this_thread::sleep_for(request::ClockBound + Millis(100));
}

membership::View Fleet::viewOf(std::size_t Self,
                               const std::vector<std::size_t> &Members,
                               std::optional<std::size_t> Leaving) const {
  std::vector<membership::Member> Out;
  Out.reserve(Members.size());
  for (const std::size_t I : Members)
    Out.push_back({Entries_[I]->Own_.Name_, Entries_[I]->Own_.Address_,
                   I == Leaving ? membership::MemberState::Leaving
                                : membership::MemberState::Live});
  return {Entries_[Self]->Own_.Name_, Out};
}

void Fleet::see(std::size_t At, const std::vector<std::size_t> &Members,
                std::optional<std::size_t> Leaving) {
  if (!Entries_[At]->Views_.push(
          std::make_shared<membership::View>(viewOf(At, Members, Leaving))))
    throw std::runtime_error("mailbox full");
}

void Fleet::crash(std::size_t At) { Entries_[At]->Thread_.reset(); }

std::size_t Fleet::dispatcher() const {
  std::vector<std::size_t> All;
  for (std::size_t I = 0; I < Entries_.size(); ++I)
    All.push_back(I);
  const membership::View View = viewOf(0, All);
  for (const std::size_t I : All)
    if (Entries_[I]->Own_.Name_ == View.home(request::homeKey(Seal))->Name_)
      return I;
  return 0;
}

std::size_t Fleet::successor() const {
  std::vector<std::size_t> All;
  for (std::size_t I = 0; I < Entries_.size(); ++I)
    All.push_back(I);
  const membership::View View = viewOf(0, All);
  const EntryName Next = View.line(request::homeKey(Seal)).at(1)->Name_;
  for (const std::size_t I : All)
    if (Entries_[I]->Own_.Name_ == Next)
      return I;
  return 0;
}

request::RequestThread &Fleet::entry(std::size_t At) {
  return *Entries_[At]->Thread_;
}

telemetry::Registry &Fleet::metrics(std::size_t At) {
  return Entries_[At]->Metrics_;
}

std::string Fleet::key() {
  return "seeb-" +
         std::to_string(Clock().wallNow().time_since_epoch().count()) + "-" +
         std::to_string(NextKey_++);
}

net::HttpResponse Fleet::send(std::size_t At, net::HttpRequest Request) {
  std::string Reason;
  const config::Settings &Own = Entries_[At]->Own_;
  const auto Got = net::httpCall({Own.Address_, Own.Ports_.Requests_},
                                 std::move(Request), Seconds(10), Reason);
  return Got ? *Got : net::HttpResponse{0, {}, Reason};
}

net::HttpResponse Fleet::submit(std::size_t At, std::string Key,
                                std::string Class, int DeadlineMs,
                                std::string Body) {
  net::HttpRequest Request{
      "POST", "/v1/services/seal/requests", {}, std::move(Body)};
  Request.Headers_.add("Idempotency-Key", std::move(Key));
  Request.Headers_.add("Medlarmoor-Class", std::move(Class));
  Request.Headers_.add("Medlarmoor-Deadline-Ms", std::to_string(DeadlineMs));
  return send(At, std::move(Request));
}

std::string header(const net::HttpResponse &Of, std::string_view Name) {
  return Of.Headers_.find(Name).value_or("-");
}

bool eventually(const std::function<bool()> &Holds) {
  const auto Until = std::chrono::steady_clock::now() + Seconds(5);
  while (std::chrono::steady_clock::now() < Until) {
    if (Holds())
      return true;
    std::this_thread::sleep_for(Millis(5));
  }
  return Holds();
}

} // namespace medlarmoor::test
