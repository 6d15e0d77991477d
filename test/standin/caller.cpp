#include <harness/flow_caller.hpp>
#include <harness/json_http.hpp>
#include <harness/request_caller.hpp>
#include <harness/standin_main.hpp>
#include <harness/udp_port.hpp>
#include <harness/upstream_server.hpp>

#include <medlarmoor/net/http_server.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <gflags/gflags.h>

#include <map>

DEFINE_string(address, "127.0.0.1", "where the caller sends from");
DEFINE_string(fabric, "127.0.0.1:7500", "where packets are sent");
DEFINE_string(harness, "127.0.0.1:7390", "where the harness sets the load");
DEFINE_uint64(seed, 1, "seed of all choices");

namespace {

using namespace medlarmoor;
using namespace medlarmoor::harness;
using nlohmann::json;
namespace asio = boost::asio;

constexpr Millis TickPeriod{2};

std::vector<Endpoint> readEndpoints(const json &List) {
  std::vector<Endpoint> Out;
  for (const json &Each : List)
    if (const auto Read = Endpoint::parse(Each.get<std::string>()))
      Out.push_back(*Read);
  return Out;
}

/// Many flows and requests of one caller address.
class Caller {
public:
  Caller(asio::io_context &Io, Ipv4 Address, Endpoint Fabric, Endpoint Harness,
         std::uint64_t Seed)
      : Address_(Address), Tick_(Io),
        Packets_(Io,
                 [this](Endpoint, std::span<const std::byte> Datagram) {
                   if (const auto In = Packet::decode(Datagram))
                     Flows_.onPacket(*In, Clock_.now());
                 }),
        Flows_(Address, Seed,
               [this, Fabric](const Packet &Out) {
                 Packets_.send(Fabric, Out.encode());
               }),
        Requests_(Io, Address, Seed + 1),
        Harness_(Io, Harness,
                 [this](net::HttpRequest Request, const net::HttpReply &Reply) {
                   Reply(onHarness(Request));
                 }) {}

  bool listen() {
    if (!Packets_.open({Address_, CallerPacketPort}))
      Reason_ = Packets_.lastReason();
    else if (!Harness_.listen())
      Reason_ = Harness_.lastReason();
    else
      tick();
    return Reason_.empty();
  }

  [[nodiscard]] const std::string &lastReason() const noexcept {
    return Reason_;
  }

private:
  void tick() {
    Flows_.tick(Clock_.now());
    Requests_.tick(Clock_.now());
    Tick_.expires_after(TickPeriod);
    Tick_.async_wait([this](boost::system::error_code Failed) {
      if (!Failed)
        tick();
    });
  }

  net::HttpResponse onHarness(const net::HttpRequest &Request) {
    const std::string_view Path = Request.path();
    const json Body = jsonBody(Request);
    if (Path == "/counters")
      return jsonResponse(200, counters());
    if (Path == "/broken")
      return jsonResponse(200, broken());
    if (Path == "/keys")
      return jsonResponse(200, keys());
    if (Path == "/flows" && Body.is_object())
      setFlows(Body);
    else if (Path == "/requests" && Body.is_object())
      setRequests(Body);
    else if (Path == "/finish")
      finish();
    else if (Path != "/healthz")
      return jsonResponse(404, json::object());
    return jsonResponse(200, json::object());
  }

  void finish() {
    RequestLoad None = Requests_.load();
    None.Rate_ = 0;
    Requests_.setLoad(None);
    Flows_.finish();
  }

  void setFlows(const json &Asked) {
    FlowLoad &To = FlowLoad_;
    if (Asked.contains("services"))
      To.Services_ = readEndpoints(Asked["services"]);
    To.Rate_ = Asked.value("rate", To.Rate_);
    To.Exchanges_ = Asked.value("exchanges", To.Exchanges_);
    To.Gap_ = Millis(Asked.value("gapMs", To.Gap_.count()));
    To.Long_ = Asked.value("long", To.Long_);
    Flows_.setLoad(To);
  }

  void setRequests(const json &Asked) {
    RequestLoad To = Requests_.load();
    To.Services_ = Asked.value("services", To.Services_);
    if (Asked.contains("entries"))
      To.Entries_ = readEndpoints(Asked["entries"]);
    To.Domain_ = Asked.value("domain", To.Domain_);
    To.Rate_ = Asked.value("rate", To.Rate_);
    To.OnceShare_ = Asked.value("onceShare", To.OnceShare_);
    To.Deadline_ = Millis(Asked.value("deadlineMs", To.Deadline_.count()));
    Requests_.setLoad(To);
  }

  [[nodiscard]] json counters() const {
    const FlowOutcomes &Flow = Flows_.outcomes();
    std::map<std::string, std::uint64_t> Last;
    std::map<std::string, std::uint64_t> Calls;
    for (const RequestRecord &Each : Requests_.records()) {
      for (const CallRecord &Call : Each.Calls_)
        ++Calls[name(Call.Outcome_)];
      if (Each.Over_)
        ++Last[name(Each.Calls_.back().Outcome_)];
    }
    return {{"flows",
             {{"started", Flow.Started_},
              {"opened", Flow.Opened_},
              {"open", Flows_.open()},
              {"refused", Flow.Refused_},
              {"unopened", Flow.Unopened_},
              {"finished", Flow.Finished_},
              {"broken", Flow.Broken_.size()},
              {"wrong_answers", Flow.WrongAnswers_},
              {"exchanges", Flow.Exchanges_},
              {"retransmits", Flow.Retransmits_},
              {"second_opens", Flow.SecondOpens_}}},
            {"requests",
             {{"started", Requests_.records().size()},
              {"open", Requests_.open()},
              {"outcomes", Last},
              {"calls", Calls}}}};
  }

  [[nodiscard]] json broken() const {
    json Out = json::array();
    for (const BrokenFlow &Each : Flows_.outcomes().Broken_)
      Out.push_back({{"flow", Each.Flow_},
                     {"reason", Each.Reason_},
                     {"upstream", Each.Upstream_},
                     {"atNs", Each.At_.time_since_epoch().count()}});
    return Out;
  }

  [[nodiscard]] json keys() const {
    json Out = json::array();
    for (const RequestRecord &Each : Requests_.records()) {
      json Calls = json::array();
      for (const CallRecord &Call : Each.Calls_)
        Calls.push_back({{"outcome", name(Call.Outcome_)},
                         {"sentNs", Call.Sent_.time_since_epoch().count()},
                         {"endNs", Call.Ended_.time_since_epoch().count()},
                         {"detail", Call.Detail_}});
      Out.push_back({{"key", Each.Key_},
                     {"service", Each.Service_},
                     {"once", Each.Once_},
                     {"over", Each.Over_},
                     {"calls", std::move(Calls)}});
    }
    return Out;
  }

  Ipv4 Address_;
  Clock Clock_;
  std::string Reason_;
  asio::steady_timer Tick_;
  FlowLoad FlowLoad_;
  UdpPort Packets_;
  FlowCaller Flows_;
  RequestCaller Requests_;
  net::HttpServer Harness_;
};

} // namespace

int main(int Argc, char **Argv) {
  gflags::SetUsageMessage("callers: flows through the fabric and requests");
  gflags::SetVersionString(MEDLARMOOR_VERSION);
  gflags::ParseCommandLineFlags(&Argc, &Argv, true);
  const auto Address = Ipv4::parse(FLAGS_address);
  if (!Address)
    return cannotStart("--address: not an address");
  asio::io_context Io;
  Caller Server(Io, *Address, endpointFlag("fabric", FLAGS_fabric),
                endpointFlag("harness", FLAGS_harness), FLAGS_seed);
  if (!Server.listen())
    return cannotStart(Server.lastReason());
  runUntilStopped(Io);
  return 0;
}
