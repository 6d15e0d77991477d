#include <harness/upstream_server.hpp>

#include <harness/flow_host.hpp>
#include <harness/json_http.hpp>
#include <harness/load_reports.hpp>
#include <harness/run_host.hpp>
#include <harness/udp_port.hpp>
#include <medlarmoor/net/http_server.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

namespace medlarmoor::harness {

namespace {

namespace asio = boost::asio;
using nlohmann::json;

constexpr Millis SamplePeriod{50};

} // namespace

class UpstreamServer::Impl {
public:
  Impl(asio::io_context &Io, UpstreamOptions Options)
      : Options_(std::move(Options)), SampleTimer_(Io),
        Flows_(Options_.Name_, Options_.ServiceAddresses_,
               Options_.Connections_),
        Runs_(Io, Options_.Name_, Options_.Slots_, Options_.Seed_, Faults_),
        Packets_(Io,
                 [this](Endpoint, std::span<const std::byte> Datagram) {
                   onPacket(Datagram);
                 }),
        Requests_(Io, {Options_.Address_, UpstreamRequestPort},
                  [this](const net::HttpRequest &Request,
                         RawHttpServer::Reply Answer) {
                    onRequest(Request, std::move(Answer));
                  }),
        Harness_(Io, {Options_.Address_, UpstreamHarnessPort},
                 [this](net::HttpRequest Request, const net::HttpReply &Reply) {
                   Reply(onHarness(Request));
                 }) {}

  bool listen() {
    if (!Packets_.open({Options_.Address_, UpstreamPacketPort}))
      Reason_ = Packets_.lastReason();
    else if (!Requests_.listen())
      Reason_ = Requests_.lastReason();
    else if (!Harness_.listen())
      Reason_ = Harness_.lastReason();
    else
      sample();
    return Reason_.empty();
  }

  [[nodiscard]] const std::string &reason() const noexcept { return Reason_; }

private:
  void sample() {
    Reports_.add({Clock_.now(), Runs_.counters().Running_, Runs_.queued(),
                  Flows_.counters().Open_});
    SampleTimer_.expires_after(SamplePeriod);
    SampleTimer_.async_wait([this](boost::system::error_code Failed) {
      if (!Failed)
        sample();
    });
  }

  void onPacket(std::span<const std::byte> Datagram) {
    const std::optional<Packet> In = Packet::decode(Datagram);
    if (!In) {
      ++Malformed_;
      return;
    }
    const std::optional<Packet> Out = Flows_.onPacket(*In, Clock_.now());
    if (Out && !Faults_.Silent_)
      Packets_.send({Out->To_.address(), CallerPacketPort}, Out->encode());
  }

  void onRequest(const net::HttpRequest &Request, RawHttpServer::Reply Answer) {
    const std::string_view Path = Request.path();
    if (Path == "/run")
      return Runs_.onRun(Request, std::move(Answer));
    if (Faults_.Silent_) {
      Held_.push_back(std::move(Answer));
      return;
    }
    if (Path == "/cancel")
      Runs_.onCancel(Request.Headers_.find("Medlarmoor-Attempt").value_or(""));
    if (Path == "/load")
      return Answer(renderHttp(jsonResponse(200, load())));
    const bool Known = Path == "/cancel" || Path == "/healthz";
    Answer(renderHttp(jsonResponse(Known ? 200 : 404, json::object())));
  }

  [[nodiscard]] json load() {
    const TimePoint Now = Clock_.now();
    if (!Faults_.LoadFreeze_)
      FrozenAt_ = Now;
    const LoadSample Shown = Reports_.at(FrozenAt_ - Faults_.LoadLag_);
    const auto Age = std::chrono::duration_cast<Millis>(Now - Shown.At_);
    const bool Warming = Now < WarmAt_;
    return {{"running", Faults_.LoadLie_.value_or(Shown.Running_)},
            {"queued", Faults_.LoadLie_ ? 0 : Shown.Queued_},
            {"slots", Options_.Slots_},
            {"flows", Shown.Flows_},
            {"connections", Options_.Connections_},
            {"state", Faults_.Draining_ ? "draining"
                      : Warming         ? "warming"
                                        : "ready"},
            {"ageMs", Faults_.LoadFreeze_ ? 0 : Age.count()}};
  }

  net::HttpResponse onHarness(const net::HttpRequest &Request) {
    const std::string_view Path = Request.path();
    if (Path == "/counters")
      return jsonResponse(200, countersJson());
    if (Path == "/runs")
      return jsonResponse(200, runsJson(Request.query("key")));
    if (Path == "/healthz")
      return jsonResponse(200, json::object());
    const json Body = jsonBody(Request);
    if (Path != "/control" || !Body.is_object())
      return jsonResponse(404, json::object());
    control(Body);
    return jsonResponse(200, json::object());
  }

  void control(const json &Asked) {
    UpstreamFaults &To = Faults_;
    To.Service_ = Millis(Asked.value("serviceMs", To.Service_.count()));
    To.Speed_ = Asked.value("speed", To.Speed_);
    To.LoadLag_ = Millis(Asked.value("loadLagMs", To.LoadLag_.count()));
    To.LoadFreeze_ = Asked.value("loadFreeze", To.LoadFreeze_);
    if (Asked.contains("loadLie"))
      To.LoadLie_ = Asked["loadLie"].is_null()
                        ? std::nullopt
                        : std::optional(Asked["loadLie"].get<std::uint64_t>());
    To.Shed_ = Asked.value("shed", To.Shed_);
    To.ColdStart_ = Millis(Asked.value("coldStartMs", To.ColdStart_.count()));
    To.Silent_ = Asked.value("silent", To.Silent_);
    To.Cut_ = Asked.value("cut", To.Cut_);
    To.Cross_ = Asked.value("cross", To.Cross_);
    To.Late_ = Asked.value("late", To.Late_);
    To.Duplicate_ = Asked.value("duplicate", To.Duplicate_);
    To.AnswerBytes_ = Asked.value("answerBytes", To.AnswerBytes_);
    To.Draining_ = Asked.value("draining", To.Draining_);
    if (Asked.value("restart", false))
      restart();
    if (Asked.contains("coldStartMs"))
      WarmAt_ = Clock_.now() + To.ColdStart_;
    if (!To.Silent_)
      Held_.clear();
  }

  void restart() {
    Flows_.restart();
    Runs_.restart();
    WarmAt_ = Clock_.now() + Faults_.ColdStart_;
  }

  [[nodiscard]] json countersJson() const {
    const FlowCounters &Flow = Flows_.counters();
    const RunCounters &Run = Runs_.counters();
    return {{"name", Options_.Name_},
            {"flows_opened", Flow.Opened_},
            {"flows_open", Flow.Open_},
            {"flows_refused", Flow.Refused_},
            {"unknown_flow_packets", Flow.Unknown_},
            {"misrouted_packets", Flow.Misrouted_},
            {"malformed_packets", Malformed_},
            {"packets", Flow.Packets_},
            {"runs", Runs_.runs().size()},
            {"runs_by_key_over_one", Runs_.keysOverOne()},
            {"running", Run.Running_},
            {"running_max", Run.RunningMax_},
            {"cancelled", Run.Cancelled_},
            {"shed", Run.Shed_},
            {"expired", Run.Expired_}};
  }

  [[nodiscard]] json runsJson(const std::optional<std::string> &Key) const {
    json Out = json::array();
    for (const RunRecord &Each : Runs_.runs())
      if (!Key || Each.Key_ == *Key)
        Out.push_back({{"key", Each.Key_},
                       {"attempt", Each.Attempt_},
                       {"once", Each.Once_},
                       {"startNs", Each.Start_.time_since_epoch().count()}});
    return {{"upstream", Options_.Name_}, {"runs", std::move(Out)}};
  }

  UpstreamOptions Options_;
  Clock Clock_;
  UpstreamFaults Faults_;
  std::string Reason_;
  LoadReports Reports_;
  asio::steady_timer SampleTimer_;
  TimePoint FrozenAt_;
  TimePoint WarmAt_;
  std::uint64_t Malformed_ = 0;
  std::list<RawHttpServer::Reply> Held_;
  FlowHost Flows_;
  RunHost Runs_;
  UdpPort Packets_;
  RawHttpServer Requests_;
  net::HttpServer Harness_;
};

UpstreamServer::UpstreamServer(asio::io_context &Io, UpstreamOptions Options)
    : Impl_(std::make_unique<Impl>(Io, std::move(Options))) {}

UpstreamServer::~UpstreamServer() = default;

bool UpstreamServer::listen() { return Impl_->listen(); }

const std::string &UpstreamServer::lastReason() const noexcept {
  return Impl_->reason();
}

} // namespace medlarmoor::harness
