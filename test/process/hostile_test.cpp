#include <harness/cluster.hpp>
#include <harness/held_connections.hpp>
#include <harness/json_http.hpp>
#include <harness/verdict.hpp>
#include <harness/wait.hpp>

#include <medlarmoor/core/hash.hpp>
#include <medlarmoor/net/http_client.hpp>
#include <medlarmoor/net/udp_socket.hpp>
#include <medlarmoor/wire/sealer.hpp>

#include <catch2/catch.hpp>

#include <fstream>
#include <random>
#include <sstream>

using namespace medlarmoor;
using namespace medlarmoor::harness;
using nlohmann::json;

namespace {

/// What an entry's memory may reach, whatever is sent to it.
constexpr std::size_t MemoryBound = 256U * 1024U * 1024U;
constexpr const char *Attacked = "seeb-1";

/// Two entries under flows and requests, one of which is attacked.
class Target {
public:
  Target() {
    REQUIRE(World_.start());
    for (std::uint8_t I = 1; I <= 2; ++I)
      REQUIRE(World_.startEntry(I));
    REQUIRE(World_.apply());
    REQUIRE(World_.waitInForce(1));
    for (const std::string &Name : World_.entryNames())
      REQUIRE(World_.waitReady(Name, Seconds(10)));
    for (const std::string &Name : World_.entryNames())
      World_.serve(Name);
  }

  Cluster &world() { return World_; }
  [[nodiscard]] const config::Settings &settings() const {
    return World_.settings(Attacked);
  }
  [[nodiscard]] Ipv4 attacker() const { return World_.addresses().caller(9); }
  [[nodiscard]] Endpoint port(std::uint16_t Port) const {
    return {settings().Address_, Port};
  }

  /// The sum of a metric over all its labels, or of the one sample named.
  [[nodiscard]] double metric(const std::string &Name) const {
    net::HttpRequest Request;
    Request.Target_ = "/metrics";
    std::string Reason;
    const auto Answer = net::httpCall(port(settings().Ports_.Admin_),
                                      std::move(Request), Seconds(5), Reason);
    if (!Answer)
      return -1;
    std::istringstream Lines(Answer->Body_);
    double Sum = 0;
    for (std::string Line; std::getline(Lines, Line);)
      if (Line.rfind(Name, 0) == 0)
        Sum += std::stod(Line.substr(Line.rfind(' ')));
    return Sum;
  }

  /// Whether a request of a well-behaved caller is done at the attacked entry.
  [[nodiscard]] bool serves() const {
    net::HttpRequest Request;
    Request.Method_ = "POST";
    Request.Target_ = "/v1/services/booking-portal/requests";
    Request.Headers_.add("Medlarmoor-Class", "idempotent");
    Request.Headers_.add("Medlarmoor-Deadline-Ms", "3000");
    Request.Body_ = "menu";
    std::string Reason;
    const auto Answer = net::httpCall(port(settings().Ports_.Requests_),
                                      std::move(Request), Seconds(5), Reason);
    return Answer && Answer->Headers_.find("Medlarmoor-Outcome") == "done";
  }

  [[nodiscard]] std::size_t memory() {
    std::ifstream File("/proc/" + std::to_string(World_.entry(Attacked).id()) +
                       "/statm");
    std::size_t Total = 0;
    std::size_t Resident = 0;
    File >> Total >> Resident;
    return Resident * 4096U;
  }

private:
  Cluster World_{ClusterOptions{}};
};

std::vector<std::byte> randomBytes(std::size_t Size, std::mt19937_64 &Source) {
  std::vector<std::byte> Out(Size);
  for (std::byte &Each : Out)
    Each = static_cast<std::byte>(Source());
  return Out;
}

void startFlows(Cluster &World) {
  REQUIRE(
      callJson(World.callerHarness(), "POST", "/flows",
               {{"services", {"192.0.2.10:443"}}, {"long", 50}, {"rate", 50}}));
  REQUIRE(waitUntil(
      [&] {
        return callJson(World.callerHarness(), "GET", "/counters")
                   .value()["flows"]["exchanges"] >= 200;
      },
      Seconds(20)));
}

} // namespace

TEST_CASE("forged, replayed, cut and random datagrams change nothing",
          "[hostile_test]") {
  Target Entry;
  startFlows(Entry.world());
  const config::Settings &Given = Entry.settings();
  net::UdpSocket Socket;
  REQUIRE(Socket.open({Entry.attacker(), 0}));
  std::mt19937_64 Source(1);
  for (int I = 0; I < 3000; ++I) {
    const auto Bytes = randomBytes(Source() % 1500, Source);
    for (const std::uint16_t Port :
         {Given.Ports_.Control_, Given.Ports_.Flow_, Given.Ports_.Peer_})
      Socket.send(Entry.port(Port), Bytes);
    if (I % 100 == 0)
      CHECK(Entry.metric("medlarmoor_thread_ticks_total") > 0);
  }
  wire::Sealer Stranger(EntryName("stranger"), Incarnation(~0ULL >> 1U),
                        wire::KeyRing({{1, {32, std::byte{99}}}}), Clock());
  const wire::Heartbeat Beat{Entry.attacker(),  {}, ConfigVersion(99), 1,
                             wire::Phase::Live, {}};
  for (int I = 0; I < 50; ++I)
    Socket.send(Entry.port(Given.Ports_.Control_), Stranger.seal(Beat));
  // A true message, sent again and again by someone who recorded it.
  wire::Sealer Member(EntryName("seeb-77"), Incarnation(5),
                      wire::KeyRing(Given.Keys_), Clock());
  const auto Recorded = Member.seal(wire::ConfigNotice{ConfigVersion(1)});
  for (int I = 0; I < 50; ++I)
    Socket.send(Entry.port(Given.Ports_.Control_), Recorded);
  const auto Refused = [&](const char *Reason) {
    return Entry.metric("medlarmoor_control_refused_total{reason=\"" +
                        std::string(Reason) + "\"}");
  };
  CHECK(waitUntil([&] {
    return Refused("signature") >= 50 && Refused("replay") >= 49 &&
           Refused("version") >= 1000;
  }));
  CHECK(Entry.world().status(Attacked)["members"].size() == 2);
  CHECK(Entry.world().version(Attacked) == 1);
  CHECK(Entry.serves());
  const Verdict Seen = gatherVerdict(Entry.world());
  CHECK(Seen.BrokenFlows_ == 0);
  CHECK(Seen.MisroutedPackets_ == 0);
  CHECK(Entry.memory() < MemoryBound);
}

TEST_CASE("unsigned and random HTTP between entries is refused",
          "[hostile_test]") {
  Target Entry;
  const config::Settings &Given = Entry.settings();
  const auto Refused = [&](std::uint16_t Port, const char *Method,
                           const char *Path, const char *Seal) {
    net::HttpRequest Request;
    Request.Method_ = Method;
    Request.Target_ = Path;
    Request.Body_ = "[]";
    if (Seal)
      Request.Headers_.add("Medlarmoor-Seal", Seal);
    std::string Reason;
    const auto Answer =
        net::httpCall(Entry.port(Port), std::move(Request), Seconds(3), Reason);
    return Answer && (Answer->Status_ == 401 || Answer->Status_ == 403);
  };
  constexpr const char *Forged =
      "1;1;seeb-2;5;1;1;00000000000000000000000000000000";
  for (const char *Seal : {static_cast<const char *>(nullptr), Forged}) {
    for (const char *Path : {"/internal/ledger", "/internal/handover",
                             "/internal/requests/booking-portal"})
      CHECK(Refused(Given.Ports_.Internal_, "POST", Path, Seal));
    CHECK(Refused(Given.Ports_.Config_, "GET",
                  "/internal/config?environment=muscat", Seal));
  }
  std::mt19937_64 Source(2);
  for (const std::uint16_t Port :
       {Given.Ports_.Requests_, Given.Ports_.Internal_, Given.Ports_.Config_,
        Given.Ports_.Admin_}) {
    HeldConnections Held;
    for (int I = 0; I < 50; ++I) {
      const auto Bytes = randomBytes(2000, Source);
      Held.open(Entry.attacker(), Entry.port(Port), 1,
                {reinterpret_cast<const char *>(Bytes.data()), Bytes.size()});
    }
  }
  CHECK(Entry.serves());
  CHECK(Entry.world().entry(Attacked).running());
}

TEST_CASE("floods of connections and slow clients do not stop the service",
          "[hostile_test]") {
  Target Entry;
  startFlows(Entry.world());
  const config::Ports &Ports = Entry.settings().Ports_;
  constexpr std::size_t Flood = 4500;
  HeldConnections Idle;
  Idle.open(Entry.attacker(), Entry.port(Ports.Requests_), Flood, "");
  CHECK(waitUntil([&] { return Entry.serves(); }, Seconds(5)));
  HeldConnections Slow;
  const std::string Body(700'000, 'x');
  Slow.open(Entry.attacker(), Entry.port(Ports.Requests_), 300,
            "POST /v1/services/booking-portal/requests HTTP/1.1\r\n"
            "Host: a\r\nMedlarmoor-Class: idempotent\r\n"
            "Medlarmoor-Deadline-Ms: 3000\r\nContent-Length: 900000\r\n\r\n");
  for (int I = 0; I < 40; ++I)
    Slow.write(Body);
  CHECK(waitUntil([&] { return Entry.serves(); }, Seconds(5)));
  CHECK(Entry.memory() < MemoryBound);
  HeldConnections Inner;
  for (const std::uint16_t Port :
       {Ports.Internal_, Ports.Config_, Ports.Admin_})
    Inner.open(Entry.attacker(), Entry.port(Port), 1200, "GET / HT");
  CHECK(waitUntil([&] { return Entry.serves(); }, Seconds(5)));
  CHECK(waitUntil([&] { return Entry.metric("medlarmoor_flow_open") >= 0; },
                  Seconds(5)));
  CHECK(Entry.memory() < MemoryBound);
  CHECK(gatherVerdict(Entry.world()).BrokenFlows_ == 0);
}
