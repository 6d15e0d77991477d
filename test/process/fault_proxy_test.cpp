#include <harness/json_http.hpp>
#include <harness/process.hpp>
#include <harness/subnet.hpp>
#include <harness/temp_folder.hpp>
#include <harness/udp_port.hpp>
#include <harness/wait.hpp>
#include <medlarmoor/net/http_client.hpp>
#include <medlarmoor/net/udp_socket.hpp>

#include <catch2/catch.hpp>

#include <future>

using namespace medlarmoor;
using namespace medlarmoor::harness;
using nlohmann::json;

namespace {

constexpr std::uint16_t ApiPort = 7400;
constexpr std::uint16_t HarnessPort = 7401;
constexpr std::uint16_t ProxyPort = 7690;
constexpr std::uint16_t DatagramPort = 7102;
constexpr Millis Short{400};

/// A platform stand-in with a fault proxy before it.
struct Proxied {
  TempFolder Folder_;
  std::optional<Subnet> Subnet_ = Subnet::acquire();
  Ipv4 Real_ = Subnet_->address(0, 1);
  Ipv4 Shown_ = Subnet_->address(0, 2);
  Ipv4 Caller_ = Subnet_->address(0, 3);
  Endpoint Proxy_{Subnet_->address(0, 4), ProxyPort};
  Process Platform_ =
      Process::start("standin-platform",
                     {"--api=" + Endpoint(Real_, ApiPort).text(),
                      "--harness=" + Endpoint(Real_, HarnessPort).text()},
                     Folder_.path() / "platform.log");
  Process Between_ =
      Process::start("standin-fault-proxy", {"--harness=" + Proxy_.text()},
                     Folder_.path() / "proxy.log");

  bool ready() {
    const json Instance{{"listen", Shown_.text()},
                        {"target", Real_.text()},
                        {"tcp", {{"platform", ApiPort}}},
                        {"udp", {{"control", DatagramPort}}}};
    return Platform_.waitHealthy({Real_, HarnessPort}) &&
           Between_.waitHealthy(Proxy_) &&
           callJson(Proxy_, "POST", "/instances", Instance);
  }

  [[nodiscard]] bool reaches(const std::string &Target = "/v1/objects/part",
                             Millis Timeout = Short) const {
    std::string Reason;
    return net::httpCall({Shown_, ApiPort}, {"GET", Target, {}, {}, {}},
                         Timeout, Reason, Caller_)
        .has_value();
  }

  void rule(const std::string &Action,
            const json &More = json::object()) const {
    json Asked = More;
    Asked["action"] = Action;
    REQUIRE(callJson(Proxy_, "PUT", "/rules/one", Asked));
  }

  void heal() const { REQUIRE(callJson(Proxy_, "DELETE", "/rules")); }
};

} // namespace

TEST_CASE("a cut stops what it names and heals", "[fault_proxy_test]") {
  Proxied World;
  REQUIRE(World.ready());
  CHECK(World.reaches());
  World.rule("cut", {{"source", World.Caller_.text()}});
  CHECK_FALSE(World.reaches());
  World.rule("cut", {{"source", World.Proxy_.address().text()}});
  CHECK(World.reaches());
  World.rule("one_way", {{"source", World.Real_.text()}});
  CHECK_FALSE(World.reaches());
  World.heal();
  CHECK(World.reaches());
}

TEST_CASE("a silent connection stays open while new ones work",
          "[fault_proxy_test]") {
  Proxied World;
  REQUIRE(World.ready());
  auto Watch = std::async(std::launch::async, [&] {
    return World.reaches("/v1/watch/part?after=0&timeoutMs=1500", Seconds(3));
  });
  REQUIRE(waitUntil([&] {
    const auto Silenced =
        callJson(World.Proxy_, "POST", "/silence", json::object());
    return Silenced && (*Silenced)["connections"] == 1;
  }));
  CHECK(World.reaches());
  CHECK_FALSE(Watch.get());
}

TEST_CASE("datagrams pass from their sender's address unless they are cut",
          "[fault_proxy_test]") {
  Proxied World;
  REQUIRE(World.ready());
  net::UdpSocket Receiver;
  net::UdpSocket Sender;
  REQUIRE(Receiver.open({World.Real_, DatagramPort}));
  REQUIRE(Sender.open({World.Caller_, 0}));
  std::array<std::byte, 16> Buffer{};
  std::optional<net::Datagram> Got;
  const auto Arrives = [&] {
    Sender.send({World.Shown_, DatagramPort}, Buffer);
    return waitUntil(
        [&] {
          Got = Receiver.receive(Buffer);
          return Got.has_value();
        },
        Short);
  };
  REQUIRE(Arrives());
  CHECK(Got->From_.address() == World.Caller_);
  World.rule("loss", {{"loss", 1.0}});
  CHECK_FALSE(Arrives());
  World.rule("cut", {{"destination", World.Real_.text()}, {"port", "peer"}});
  CHECK(Arrives());
}
