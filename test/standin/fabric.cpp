#include <harness/json_http.hpp>
#include <harness/standin_main.hpp>
#include <harness/udp_port.hpp>

#include <medlarmoor/core/random.hpp>
#include <medlarmoor/net/http_server.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <gflags/gflags.h>

#include <map>
#include <memory>
#include <vector>

DEFINE_string(packets, "127.0.0.1:7500", "where callers' packets arrive");
DEFINE_string(harness, "127.0.0.1:7590", "where the harness sets entries");
DEFINE_uint64(seed, 1, "seed of the spraying");

namespace {

using namespace medlarmoor;
using namespace medlarmoor::harness;
using nlohmann::json;
namespace asio = boost::asio;

/// How much the fabric disturbs and how late it learns.
struct Disturbance {
  /// Share of packets that are sent twice.
  double Duplicate_ = 0;
  /// Share of packets that are held back, to arrive after later ones.
  double Reorder_ = 0;
  Millis HeldBack_{5};
  /// A new list of entries takes effect this much later.
  Millis Lag_{0};
};

/// Sends each packet on to an entry chosen by seed, whatever its flow.
class Fabric {
public:
  Fabric(asio::io_context &Io, Endpoint Packets, Endpoint Harness,
         std::uint64_t Seed)
      : Io_(Io), Where_(Packets), Random_(Seed),
        Packets_(Io,
                 [this](Endpoint, std::span<const std::byte> Datagram) {
                   onPacket(Datagram);
                 }),
        Harness_(Io, Harness,
                 [this](net::HttpRequest Request, const net::HttpReply &Reply) {
                   Reply(onHarness(Request));
                 }) {}

  bool listen() {
    if (!Packets_.open(Where_))
      Reason_ = Packets_.lastReason();
    else if (!Harness_.listen())
      Reason_ = Harness_.lastReason();
    return Reason_.empty();
  }

  [[nodiscard]] const std::string &lastReason() const noexcept {
    return Reason_;
  }

private:
  bool draw(double Share) {
    return Share > 0 && std::bernoulli_distribution(Share)(Random_);
  }

  void onPacket(std::span<const std::byte> Datagram) {
    ++Count_;
    if (Entries_.empty()) {
      ++Dropped_;
      return;
    }
    if (draw(Disturbance_.Duplicate_)) {
      ++Duplicated_;
      spray(Datagram);
    }
    if (draw(Disturbance_.Reorder_)) {
      ++Reordered_;
      return sprayLater(Datagram);
    }
    spray(Datagram);
  }

  void spray(std::span<const std::byte> Datagram) {
    if (Entries_.empty())
      return;
    std::uniform_int_distribution<std::size_t> Choice(0, Entries_.size() - 1);
    const Endpoint To = Entries_[Choice(Random_)];
    ++ByEntry_[To.text()];
    Packets_.send(To, Datagram);
  }

  void sprayLater(std::span<const std::byte> Datagram) {
    const auto Timer =
        std::make_shared<asio::steady_timer>(Io_, Disturbance_.HeldBack_);
    const std::vector<std::byte> Copy(Datagram.begin(), Datagram.end());
    Timer->async_wait(
        [this, Timer, Copy](boost::system::error_code) { spray(Copy); });
  }

  net::HttpResponse onHarness(const net::HttpRequest &Request) {
    const std::string_view Path = Request.path();
    const json Body = jsonBody(Request);
    if (Path == "/counters")
      return jsonResponse(200, {{"packets", Count_},
                                {"dropped", Dropped_},
                                {"duplicated", Duplicated_},
                                {"reordered", Reordered_},
                                {"by_entry", ByEntry_}});
    if (Path == "/entries" && Body.is_object())
      setEntries(Body);
    else if (Path == "/control" && Body.is_object())
      control(Body);
    else if (Path != "/healthz")
      return jsonResponse(404, json::object());
    return jsonResponse(200, json::object());
  }

  void control(const json &Asked) {
    Disturbance &To = Disturbance_;
    To.Duplicate_ = Asked.value("duplicate", To.Duplicate_);
    To.Reorder_ = Asked.value("reorder", To.Reorder_);
    To.HeldBack_ = Millis(Asked.value("heldBackMs", To.HeldBack_.count()));
    To.Lag_ = Millis(Asked.value("lagMs", To.Lag_.count()));
  }

  void setEntries(const json &Asked) {
    std::vector<Endpoint> List;
    for (const json &Each : Asked.value("entries", json::array()))
      if (const auto Read = Endpoint::parse(Each.get<std::string>()))
        List.push_back(*Read);
    if (Disturbance_.Lag_.count() == 0) {
      Entries_ = std::move(List);
      return;
    }
    const auto Timer =
        std::make_shared<asio::steady_timer>(Io_, Disturbance_.Lag_);
    Timer->async_wait(
        [this, Timer, List](boost::system::error_code) { Entries_ = List; });
  }

  asio::io_context &Io_;
  Endpoint Where_;
  Random Random_;
  std::string Reason_;
  Disturbance Disturbance_;
  std::vector<Endpoint> Entries_;
  std::uint64_t Count_ = 0;
  std::uint64_t Dropped_ = 0;
  std::uint64_t Duplicated_ = 0;
  std::uint64_t Reordered_ = 0;
  std::map<std::string, std::uint64_t> ByEntry_;
  UdpPort Packets_;
  net::HttpServer Harness_;
};

} // namespace

int main(int Argc, char **Argv) {
  gflags::SetUsageMessage("the fabric: sprays packets over the live entries");
  gflags::SetVersionString(MEDLARMOOR_VERSION);
  gflags::ParseCommandLineFlags(&Argc, &Argv, true);
  asio::io_context Io;
  Fabric Server(Io, endpointFlag("packets", FLAGS_packets),
                endpointFlag("harness", FLAGS_harness), FLAGS_seed);
  if (!Server.listen())
    return cannotStart(Server.lastReason());
  runUntilStopped(Io);
  return 0;
}
