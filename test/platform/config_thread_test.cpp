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

/// The bound of the promise that a configuration is in force in time.
constexpr Millis InForceBound = Seconds(4);

config::Environment document(std::uint32_t Slots) {
  Findings Found;
  config::Environment Out =
      config::readEnvironmentFile(MEDLARMOOR_SOURCE_DIR "/examples/muscat.toml",
                                  Found)
          .value();
  Out.Services_[0].Upstreams_[0].Slots_ = Slots;
  return Out;
}

/// The stand-in platform, served by a thread of this process.
class Platform {
public:
  explicit Platform(const harness::Subnet &On)
      : Api_(On.address(9, 1), 7400), Harness_(On.address(9, 1), 7401),
        Server_(Io_, Api_, Harness_) {
    REQUIRE(Server_.listen());
    Thread_ = std::thread([this] { Io_.run(); });
  }
  ~Platform() {
    Io_.stop();
    Thread_.join();
  }
  Platform(const Platform &) = delete;
  Platform &operator=(const Platform &) = delete;

  void control(const nlohmann::json &Asked) const {
    REQUIRE(harness::callJson(Harness_, "POST", "/control", Asked));
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

/// One configuration thread with its mailboxes.
class Entry {
public:
  Entry(const harness::Subnet &On, Endpoint Platform, std::uint8_t Number,
        const std::string &Secret = "0123456789abcdef")
      : Given_(settings(On, Platform, Number, Secret)),
        Thread_(Given_, Joined_.ConfigToFlow_, Joined_.ConfigToRequests_,
                Joined_.ConfigToControl_, Joined_.ControlViewToConfig_,
                Joined_.ControlToConfig_, Joined_.ConfigMessageToControl_,
                Clock(), Metrics_, Log_) {
    REQUIRE(Thread_.start());
  }

  /// The versions given to the flow thread grow; the newest of them.
  ConfigVersion version() {
    while (auto Next = Joined_.ConfigToFlow_.pop()) {
      CHECK((*Next)->Version_ > Version_);
      Version_ = (*Next)->Version_;
    }
    return Version_;
  }
  bool reaches(ConfigVersion Version) {
    return harness::waitUntil([&] { return version() >= Version; },
                              InForceBound);
  }
  void see(const std::vector<const Entry *> &Others) {
    std::vector<membership::Member> Members;
    Members.reserve(Others.size());
    for (const Entry *Each : Others)
      Members.push_back({Each->Given_.Name_, Each->Given_.Address_});
    REQUIRE(Joined_.ControlViewToConfig_.push(
        std::make_shared<membership::View>(Given_.Name_, Members)));
  }
  void hear(const Entry &From, ConfigVersion Version) {
    wire::Heartbeat Beat;
    Beat.Config_ = Version;
    REQUIRE(Joined_.ControlToConfig_.push({From.Given_.Name_, Beat, {}}));
  }

  config::Settings Given_;
  daemon::Channels Joined_;
  telemetry::Registry Metrics_;
  telemetry::EventLog Log_{"config", "ERROR"};
  ConfigThread Thread_;
  ConfigVersion Version_;

private:
  static config::Settings settings(const harness::Subnet &On, Endpoint Platform,
                                   std::uint8_t Number,
                                   const std::string &Secret) {
    config::Settings Out;
    Out.Name_ = EntryName("seeb-" + std::to_string(Number));
    Out.Domain_ = DomainName("seeb");
    Out.Address_ = On.address(1, Number);
    Out.Platform_ = Platform;
    Out.Environment_ = "muscat";
    config::SharedKey Key{1, {}};
    for (const char Each : Secret)
      Key.Secret_.push_back(static_cast<std::byte>(Each));
    Out.Keys_.push_back(Key);
    return Out;
  }
};

} // namespace

TEST_CASE("an accepted document is in force in time, whatever the platform "
          "does after it") {
  const auto On = harness::Subnet::acquire();
  const Platform Store(*On);
  Entry One(*On, Store.Api_, 1);
  One.see({&One});
  REQUIRE(One.reaches(Store.publish(3)));
  Store.control({{"delayMs", 300}});
  CHECK(One.reaches(Store.publish(4)));
  Store.control({{"delayMs", 0}, {"silenceWatches", true}});
  CHECK(One.reaches(Store.publish(5)));
  Store.control({{"silenceWatches", false}, {"outage", true}});
  Store.control({{"outage", false}});
  CHECK(One.reaches(Store.publish(6)));
}

TEST_CASE("old answers of the platform change nothing") {
  const auto On = harness::Subnet::acquire();
  const Platform Store(*On);
  Entry One(*On, Store.Api_, 1);
  One.see({&One});
  (void)Store.publish(3);
  const ConfigVersion Newest = Store.publish(4);
  REQUIRE(One.reaches(Newest));
  Store.control({{"staleMs", 60'000}});
  Entry Two(*On, Store.Api_, 2);
  Two.see({&One, &Two});
  One.see({&One, &Two});
  Two.hear(One, Newest);
  CHECK(Two.reaches(Newest));
  CHECK(One.version() == Newest);
}

TEST_CASE("an entry starts from a neighbour while the platform is down") {
  const auto On = harness::Subnet::acquire();
  const Platform Store(*On);
  Entry One(*On, Store.Api_, 1);
  One.see({&One});
  const ConfigVersion Newest = Store.publish(3);
  REQUIRE(One.reaches(Newest));
  Store.control({{"outage", true}});
  Entry Two(*On, Store.Api_, 2);
  Two.see({&One, &Two});
  Two.hear(One, Newest);
  CHECK(Two.reaches(Newest));
}

TEST_CASE("an entry with another key gets no configuration from neighbours") {
  const auto On = harness::Subnet::acquire();
  const Platform Store(*On);
  Entry One(*On, Store.Api_, 1);
  One.see({&One});
  const ConfigVersion Newest = Store.publish(3);
  REQUIRE(One.reaches(Newest));
  Store.control({{"outage", true}});
  Entry Two(*On, Store.Api_, 2, "another-key-0123");
  Two.see({&One, &Two});
  Two.hear(One, Newest);
  CHECK(harness::waitUntil([&] {
    return One.Metrics_.counter("medlarmoor_config_unsealed_total").value() > 0;
  }));
  CHECK(Two.version() == ConfigVersion(0));
}
