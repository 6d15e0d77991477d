#include <harness/json_http.hpp>
#include <harness/platform_server.hpp>
#include <harness/subnet.hpp>
#include <harness/wait.hpp>

#include <medlarmoor/config/parts.hpp>
#include <medlarmoor/config/read_environment.hpp>
#include <medlarmoor/daemon/channels.hpp>
#include <medlarmoor/platform/config_thread.hpp>
#include <medlarmoor/platform/publish.hpp>
#include <medlarmoor/telemetry/event_log.hpp>
#include <medlarmoor/telemetry/registry.hpp>

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

#include <thread>

using namespace medlarmoor;
using namespace medlarmoor::platform;

namespace {

/// Time within which an accepted configuration must be in force.
constexpr Millis InForceBound = Seconds(4);

config::Environment document(std::uint32_t Slots) {
  Findings Found;
  config::Environment Document =
      config::readEnvironmentFile(MEDLARMOOR_SOURCE_DIR "/examples/muscat.toml",
                                  Found)
          .value();
  Document.Services_[0].Upstreams_[0].Slots_ = Slots;
  return Document;
}

/// The stand-in for the platform, served by a thread of this process.
class Platform {
public:
  explicit Platform(const harness::Subnet &Network)
      : Api_(Network.address(9, 1), 7400),
        Harness_(Network.address(9, 1), 7401), Server_(Io_, Api_, Harness_) {
    REQUIRE(Server_.listen());
    Thread_ = std::thread([this] { Io_.run(); });
  }
  ~Platform() {
    Io_.stop();
    Thread_.join();
  }
  Platform(const Platform &) = delete;
  Platform &operator=(const Platform &) = delete;

  void control(const nlohmann::json &Faults) const {
    REQUIRE(harness::callJson(Harness_, "POST", "/control", Faults));
  }
  [[nodiscard]] ConfigVersion publish(std::uint32_t Slots) const {
    const auto Result =
        platform::publish(Api_, "muscat",
                          {config::splitParts(document(Slots)), std::nullopt,
                           std::nullopt, "token-" + std::to_string(Slots)},
                          Seconds(5));
    return std::get<config::Published>(Result).Version_;
  }

  Endpoint Api_;
  Endpoint Harness_;
  boost::asio::io_context Io_;
  harness::PlatformServer Server_;
  std::thread Thread_;
};

/// A configuration thread with its mailboxes.
class Entry {
public:
  Entry(const harness::Subnet &Network, Endpoint Platform, std::uint8_t Number,
        const std::string &Secret = "0123456789abcdef")
      : Settings_(settings(Network, Platform, Number, Secret)),
        Thread_(Settings_, Channels_.ConfigToFlow_, Channels_.ConfigToRequests_,
                Channels_.ConfigToControl_, Channels_.ControlViewToConfig_,
                Channels_.ControlToConfig_, Channels_.ConfigMessageToControl_,
                Clock(), Metrics_, Log_) {
    REQUIRE(Thread_.start());
  }

  /// Returns the newest version sent to the flow thread, and checks that the
  /// versions sent to it increase.
  ConfigVersion version() {
    while (auto Document = Channels_.ConfigToFlow_.pop()) {
      CHECK((*Document)->Version_ > Version_);
      Version_ = (*Document)->Version_;
    }
    return Version_;
  }
  bool reaches(ConfigVersion Version) {
    return harness::waitUntil([&] { return version() >= Version; },
                              InForceBound);
  }
  void updateView(const std::vector<const Entry *> &Entries) {
    std::vector<membership::Member> Members;
    Members.reserve(Entries.size());
    for (const Entry *Listed : Entries)
      Members.push_back({Listed->Settings_.Name_, Listed->Settings_.Address_});
    REQUIRE(Channels_.ControlViewToConfig_.push(
        std::make_shared<membership::View>(Settings_.Name_, Members)));
  }
  void receiveHeartbeat(const Entry &From, ConfigVersion Version) {
    wire::Heartbeat Message;
    Message.Config_ = Version;
    REQUIRE(
        Channels_.ControlToConfig_.push({From.Settings_.Name_, Message, {}}));
  }

  config::Settings Settings_;
  daemon::Channels Channels_;
  telemetry::Registry Metrics_;
  telemetry::EventLog Log_{"config", "ERROR"};
  ConfigThread Thread_;
  ConfigVersion Version_;

private:
  static config::Settings settings(const harness::Subnet &Network,
                                   Endpoint Platform, std::uint8_t Number,
                                   const std::string &Secret) {
    config::Settings Built;
    Built.Name_ = EntryName("seeb-" + std::to_string(Number));
    Built.Domain_ = DomainName("seeb");
    Built.Address_ = Network.address(1, Number);
    Built.Platform_ = Platform;
    Built.Environment_ = "muscat";
    config::SharedKey Key{1, {}};
    for (const char Character : Secret)
      Key.Secret_.push_back(static_cast<std::byte>(Character));
    Built.Keys_.push_back(Key);
    return Built;
  }
};

} // namespace

TEST_CASE("an accepted document is in force in time despite slow answers, "
          "silent watches and outages of the platform") {
  const auto Network = harness::Subnet::acquire();
  const Platform StandIn(*Network);
  Entry First(*Network, StandIn.Api_, 1);
  First.updateView({&First});
  REQUIRE(First.reaches(StandIn.publish(3)));
  StandIn.control({{"delayMs", 300}});
  CHECK(First.reaches(StandIn.publish(4)));
  StandIn.control({{"delayMs", 0}, {"silenceWatches", true}});
  CHECK(First.reaches(StandIn.publish(5)));
  StandIn.control({{"silenceWatches", false}, {"outage", true}});
  StandIn.control({{"outage", false}});
  CHECK(First.reaches(StandIn.publish(6)));
}

TEST_CASE("outdated answers of the platform do not revert the configuration") {
  const auto Network = harness::Subnet::acquire();
  const Platform StandIn(*Network);
  Entry First(*Network, StandIn.Api_, 1);
  First.updateView({&First});
  (void)StandIn.publish(3);
  const ConfigVersion Newest = StandIn.publish(4);
  REQUIRE(First.reaches(Newest));
  StandIn.control({{"staleMs", 60'000}});
  Entry Second(*Network, StandIn.Api_, 2);
  Second.updateView({&First, &Second});
  First.updateView({&First, &Second});
  Second.receiveHeartbeat(First, Newest);
  CHECK(Second.reaches(Newest));
  CHECK(First.version() == Newest);
}

TEST_CASE(
    "an entry gets its configuration from a neighbour while the platform is "
    "unavailable") {
  const auto Network = harness::Subnet::acquire();
  const Platform StandIn(*Network);
  Entry First(*Network, StandIn.Api_, 1);
  First.updateView({&First});
  const ConfigVersion Newest = StandIn.publish(3);
  REQUIRE(First.reaches(Newest));
  StandIn.control({{"outage", true}});
  Entry Second(*Network, StandIn.Api_, 2);
  Second.updateView({&First, &Second});
  Second.receiveHeartbeat(First, Newest);
  CHECK(Second.reaches(Newest));
}

TEST_CASE("an entry with another key gets no configuration from neighbours") {
  const auto Network = harness::Subnet::acquire();
  const Platform StandIn(*Network);
  Entry First(*Network, StandIn.Api_, 1);
  First.updateView({&First});
  const ConfigVersion Newest = StandIn.publish(3);
  REQUIRE(First.reaches(Newest));
  StandIn.control({{"outage", true}});
  Entry Second(*Network, StandIn.Api_, 2, "another-key-0123");
  Second.updateView({&First, &Second});
  Second.receiveHeartbeat(First, Newest);
  CHECK(harness::waitUntil([&] {
    return First.Metrics_.counter("medlarmoor_config_unsealed_total").value() >
           0;
  }));
  CHECK(Second.version() == ConfigVersion(0));
}
