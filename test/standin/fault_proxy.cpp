#include <harness/fault_rules.hpp>
#include <harness/json_http.hpp>
#include <harness/standin_main.hpp>
#include <harness/tcp_relay.hpp>
#include <harness/text.hpp>
#include <harness/udp_relay.hpp>

#include <medlarmoor/net/http_server.hpp>

#include <boost/asio/io_context.hpp>
#include <gflags/gflags.h>

#include <list>

DEFINE_string(harness, "127.0.0.1:7690", "where the harness sets rules");
DEFINE_uint64(seed, 1, "seed of lost datagrams");

namespace {

using namespace medlarmoor;
using namespace medlarmoor::harness;
using nlohmann::json;
namespace asio = boost::asio;

Ipv4 readAddress(const json &From, const char *Key) {
  return Ipv4::parse(From.value(Key, "")).value_or(Ipv4());
}

std::optional<FaultAction> readAction(const std::string &Text) {
  if (Text == "cut")
    return FaultAction::Cut;
  if (Text == "one_way")
    return FaultAction::OneWay;
  if (Text == "delay")
    return FaultAction::Delay;
  if (Text == "loss")
    return FaultAction::Loss;
  return std::nullopt;
}

FaultRule readRule(const json &From) {
  FaultRule Out;
  Out.Source_ = readAddress(From, "source");
  Out.Destination_ = readAddress(From, "destination");
  Out.PortClass_ = From.value("port", "");
  Out.Delay_ = Millis(From.value("delayMs", 0));
  Out.Loss_ = From.value("loss", 0.0);
  return Out;
}

/// Stands before other processes and disturbs what passes, as it is told.
class FaultProxy {
public:
  FaultProxy(asio::io_context &Io, Endpoint Harness, std::uint64_t Seed)
      : Io_(Io), Random_(Seed),
        Harness_(Io, Harness,
                 [this](net::HttpRequest Request, const net::HttpReply &Reply) {
                   Reply(onHarness(Request));
                 }) {}

  bool listen() { return Harness_.listen(); }

  [[nodiscard]] const std::string &lastReason() const noexcept {
    return Harness_.lastReason();
  }

private:
  net::HttpResponse onHarness(const net::HttpRequest &Request) {
    const std::vector<std::string> Path = splitPath(Request.path());
    const json Body = jsonBody(Request);
    if (Path.empty())
      return jsonResponse(404, json::object());
    if (Path[0] == "healthz")
      return jsonResponse(200, json::object());
    if (Path[0] == "counters")
      return jsonResponse(200, {{"bytes", Passed_}});
    if (Path[0] == "instances" && Body.is_object())
      return addInstance(Body);
    if (Path[0] == "silence" && Body.is_object())
      return silence(Body);
    if (Path[0] != "rules")
      return jsonResponse(404, json::object());
    if (Request.Method_ == "DELETE" && Path.size() == 1)
      Rules_.clear();
    else if (Request.Method_ == "DELETE")
      Rules_.remove(Path[1]);
    else if (Path.size() == 2 && Body.is_object())
      return setRule(Path[1], Body);
    return jsonResponse(200, json::object());
  }

  net::HttpResponse setRule(const std::string &Name, const json &Asked) {
    const auto Action = readAction(Asked.value("action", ""));
    if (!Action)
      return jsonResponse(400, {{"reason", "unknown action"}});
    FaultRule Rule = readRule(Asked);
    Rule.Action_ = *Action;
    Rules_.set(Name, Rule);
    return jsonResponse(200, json::object());
  }

  net::HttpResponse silence(const json &Asked) {
    const FaultRule Rule = readRule(Asked);
    std::size_t Count = 0;
    for (TcpRelay &Each : Tcp_)
      Count += Each.silence(Rule);
    return jsonResponse(200, {{"connections", Count}});
  }

  /// Stands in for one process on the ports that are named.
  net::HttpResponse addInstance(const json &Asked) {
    const Ipv4 Listen = readAddress(Asked, "listen");
    const Ipv4 Target = readAddress(Asked, "target");
    Shown_.add(Target, Listen);
    const json Tcp = Asked.value("tcp", json::object());
    for (const auto &[Class, Port] : Tcp.items()) {
      Tcp_.emplace_back(Io_, Endpoint(Listen, Port), Endpoint(Target, Port),
                        Class, Rules_, Passed_, Shown_);
      if (!Tcp_.back().listen())
        return jsonResponse(409, {{"reason", Tcp_.back().lastReason()}});
    }
    const json Udp = Asked.value("udp", json::object());
    for (const auto &[Class, Port] : Udp.items()) {
      Udp_.emplace_back(Io_, Endpoint(Listen, Port), Endpoint(Target, Port),
                        Class, Rules_, Passed_, Shown_, Random_);
      if (!Udp_.back().listen())
        return jsonResponse(409, {{"reason", Udp_.back().lastReason()}});
    }
    return jsonResponse(200, json::object());
  }

  asio::io_context &Io_;
  Random Random_;
  FaultRules Rules_;
  PassedBytes Passed_;
  ShownAddresses Shown_;
  std::list<TcpRelay> Tcp_;
  std::list<UdpRelay> Udp_;
  net::HttpServer Harness_;
};

} // namespace

int main(int Argc, char **Argv) {
  gflags::SetUsageMessage("stands before instances and disturbs their traffic");
  gflags::SetVersionString(MEDLARMOOR_VERSION);
  gflags::ParseCommandLineFlags(&Argc, &Argv, true);
  asio::io_context Io;
  FaultProxy Server(Io, endpointFlag("harness", FLAGS_harness), FLAGS_seed);
  if (!Server.listen())
    return cannotStart(Server.lastReason());
  runUntilStopped(Io);
  return 0;
}
