#include <harness/flow_caller.hpp>
#include <harness/flow_host.hpp>
#include <harness/json_http.hpp>
#include <harness/process.hpp>
#include <harness/run_host.hpp>
#include <harness/subnet.hpp>
#include <harness/temp_folder.hpp>
#include <harness/upstream_server.hpp>
#include <harness/wait.hpp>

#include <medlarmoor/net/http_client.hpp>

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

#include <csignal>

using namespace medlarmoor;
using namespace medlarmoor::harness;
using nlohmann::json;

namespace {

constexpr std::uint16_t ApiPort = 7400;
constexpr std::uint16_t HarnessPort = 7401;

/// A platform stand-in on its own subnet.
struct Platform {
  TempFolder Folder_;
  std::optional<Subnet> Subnet_ = Subnet::acquire();
  Endpoint Api_{Subnet_->address(0, 1), ApiPort};
  Endpoint Harness_{Subnet_->address(0, 1), HarnessPort};
  Process Process_ =
      Process::start("standin-platform",
                     {"--api=" + Api_.text(), "--harness=" + Harness_.text()},
                     Folder_.path() / "platform.log");
  bool Healthy_ = Process_.waitHealthy(Harness_);

  [[nodiscard]] std::optional<net::HttpResponse>
  call(const std::string &Method, const std::string &Target,
       const std::string &Body = {}) const {
    std::string Reason;
    return net::httpCall(Api_, {Method, Target, {}, Body, {}}, Seconds(3),
                         Reason);
  }
};

} // namespace

TEST_CASE("the platform keeps versions and refuses an outdated writer",
          "[standin_test]") {
  Platform Store;
  REQUIRE(Store.Healthy_);
  CHECK(Store.call("PUT", "/v1/objects/part/a?ifVersion=0", "1")->Status_ ==
        200);
  CHECK(Store.call("PUT", "/v1/objects/part/a?ifVersion=0", "2")->Status_ ==
        409);
  CHECK(Store.call("PUT", "/v1/objects/part/a?ifVersion=1", "3")->Status_ ==
        200);
  const json Read = json::parse(Store.call("GET", "/v1/objects/part/a")->Body_);
  CHECK(Read ==
        json{{"kind", "part"}, {"name", "a"}, {"version", 2}, {"value", 3}});
  const std::string Large(1'048'577, '1');
  CHECK(Store.call("PUT", "/v1/objects/part/b", Large)->Status_ == 413);
}

TEST_CASE("a watch answers with the change and a lost answer hides a write",
          "[standin_test]") {
  Platform Store;
  REQUIRE(Store.Healthy_);
  REQUIRE(
      callJson(Store.Harness_, "POST", "/control", {{"loseAnswerEvery", 1}}));
  CHECK_FALSE(Store.call("PUT", "/v1/objects/part/a", "7"));
  const auto Seen = Store.call("GET", "/v1/watch/part?after=0&timeoutMs=2000");
  REQUIRE(Seen);
  const json Items = json::parse(Seen->Body_)["items"];
  REQUIRE(Items.size() == 1);
  CHECK(Items[0]["value"] == 7);
  REQUIRE(callJson(Store.Harness_, "POST", "/control", {{"outage", true}}));
  CHECK(Store.call("GET", "/v1/objects/part/a")->Status_ == 503);
}

TEST_CASE("the list of instances lags by what the harness sets",
          "[standin_test]") {
  Platform Store;
  REQUIRE(Store.Healthy_);
  REQUIRE(callJson(Store.Harness_, "POST", "/control", {{"listLagMs", 600}}));
  const json Entry{
      {"domain", "seeb"}, {"address", "127.0.0.9"}, {"state", "live"}};
  REQUIRE(callJson(Store.Harness_, "PUT", "/instances/seeb-1", Entry));
  const auto Listed = [&] {
    return json::parse(Store.call("GET", "/v1/instances?domain=seeb")
                           ->Body_)["instances"]
        .size();
  };
  CHECK(Listed() == 0);
  CHECK(waitUntil([&] { return Listed() == 1; }));
}

TEST_CASE("a process ends with the object that started it", "[standin_test]") {
  pid_t Id = 0;
  {
    Platform Store;
    REQUIRE(Store.Healthy_);
    Id = Store.Process_.id();
    Store.Process_.pause();
    CHECK(Store.Process_.running());
  }
  CHECK(::kill(Id, 0) != 0);
}

TEST_CASE("a caller counts a reset and a second upstream as broken flows",
          "[standin_test]") {
  const Endpoint Service(*Ipv4::parse("192.0.2.10"), 443);
  FlowHost First("first", {Service}, 10);
  FlowHost Second("second", {Service}, 10);
  FlowHost *Answers = &First;
  TimePoint Now = TimePoint(Seconds(100));
  std::vector<Packet> Sent;
  FlowCaller Caller(*Ipv4::parse("127.0.0.1"), 1,
                    [&](const Packet &Out) { Sent.push_back(Out); });
  FlowLoad Load;
  Load.Services_ = {Service};
  Load.Long_ = 1;
  Caller.setLoad(Load);
  const auto Step = [&](FlowHost *SeesFirstPackets) {
    Now += Millis(100);
    Sent.clear();
    Caller.tick(Now);
    for (const Packet &Each : std::vector<Packet>(Sent)) {
      if (SeesFirstPackets != nullptr && Each.has(TcpSyn))
        CHECK(SeesFirstPackets->onPacket(Each, Now));
      if (const auto Answer = Answers->onPacket(Each, Now))
        Caller.onPacket(*Answer, Now);
    }
  };
  for (int I = 0; I < 10; ++I)
    Step(nullptr);
  CHECK(Caller.outcomes().Opened_ == 1);
  CHECK(Caller.outcomes().Exchanges_ >= 8);
  CHECK(Caller.outcomes().Broken_.empty());

  Answers = &Second;
  Step(nullptr);
  REQUIRE(Caller.outcomes().Broken_.size() == 1);
  CHECK(Caller.outcomes().Broken_[0].Reason_ == "reset");
  CHECK(Second.counters().Unknown_ == 1);

  Step(&First);
  Step(nullptr);
  Answers = &First;
  Step(nullptr);
  REQUIRE(Caller.outcomes().Broken_.size() == 2);
  CHECK(Caller.outcomes().Broken_[1].Reason_ == "other upstream");
  CHECK(First.counters().Misrouted_ == 0);
}

TEST_CASE("a job that is cancelled after its timer fired is not finished",
          "[standin_test]") {
  boost::asio::io_context Io;
  UpstreamFaults Faults;
  Faults.Service_ = Millis(0);
  RunHost Host(Io, "a", 2, 1, Faults);
  const auto Request = [](const char *Attempt) {
    net::HttpRequest Out;
    Out.Headers_.add("Medlarmoor-Attempt", Attempt);
    return Out;
  };
  int Answers = 0;
  Host.onRun(Request("first"), [&](const std::string &) {
    ++Answers;
    Host.onCancel("second");
  });
  Host.onRun(Request("second"), [&](const std::string &Bytes) {
    ++Answers;
    CHECK(Bytes.find("cancelled while it ran") != std::string::npos);
  });
  Io.run();
  CHECK(Answers == 2);
}
