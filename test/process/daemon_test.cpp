#include <harness/json_http.hpp>
#include <harness/process.hpp>
#include <harness/subnet.hpp>
#include <harness/temp_folder.hpp>
#include <harness/wait.hpp>

#include <medlarmoor/config/read_settings.hpp>
#include <medlarmoor/net/http_client.hpp>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <csignal>

using namespace medlarmoor;
using namespace medlarmoor::harness;
using nlohmann::json;

namespace {

constexpr std::uint16_t ApiPort = 7400;
constexpr std::uint16_t HarnessPort = 7401;

/// A platform and some entries of the domain seeb on a subnet of their own.
class Domain {
public:
  Domain() { REQUIRE(Platform_.waitHealthy(Harness_)); }

  [[nodiscard]] config::Settings settings(int I) const {
    config::Settings Out;
    Out.Name_ = EntryName("seeb-" + std::to_string(I));
    Out.Domain_ = DomainName("seeb");
    Out.Address_ = address(I);
    Out.Platform_ = Api_;
    Out.Environment_ = "muscat-trial";
    Out.Doors_ = false;
    Out.Keys_ = {{1, std::vector<std::byte>(32, std::byte{7})}};
    return Out;
  }

  [[nodiscard]] Ipv4 address(int I) const {
    return Subnet_->address(1, static_cast<std::uint8_t>(I));
  }

  void list(int I) const {
    const json Body{
        {"domain", "seeb"}, {"address", address(I).text()}, {"state", "live"}};
    std::string Reason;
    REQUIRE(net::httpCall(
        Harness_,
        {"PUT", "/instances/seeb-" + std::to_string(I), {}, Body.dump()},
        Seconds(3), Reason));
  }

  [[nodiscard]] Process start(int I) const {
    const std::string Name = "seeb-" + std::to_string(I);
    const std::string File =
        Folder_.write(Name + ".toml", config::writeSettings(settings(I)));
    return Process::start("medlarmoord", {"--settings=" + File},
                          Folder_.path() / (Name + ".log"));
  }

  [[nodiscard]] std::optional<net::HttpResponse>
  get(int I, const std::string &Target) const {
    std::string Reason;
    return net::httpCall({address(I), settings(I).Ports_.Admin_},
                         {"GET", Target, {}, {}}, Seconds(1), Reason);
  }

  /// The names of live members that entry I sees.
  [[nodiscard]] std::vector<std::string> live(int I) const {
    std::vector<std::string> Out;
    const auto Answer = get(I, "/status");
    if (!Answer)
      return Out;
    const json Status = json::parse(Answer->Body_);
    for (const json &Each : Status["members"])
      if (Each["state"] == "live")
        Out.push_back(Each["name"]);
    return Out;
  }

  /// Whether each of Who sees exactly Who as live.
  [[nodiscard]] bool agree(const std::vector<int> &Who) const {
    return std::all_of(Who.begin(), Who.end(), [&](int I) {
      const auto Seen = live(I);
      return Seen.size() == Who.size() &&
             std::all_of(Who.begin(), Who.end(), [&](int J) {
               return std::count(Seen.begin(), Seen.end(),
                                 "seeb-" + std::to_string(J)) == 1;
             });
    });
  }

  TempFolder Folder_;

private:
  std::optional<Subnet> Subnet_ = Subnet::acquire();
  Endpoint Api_{Subnet_->address(0, 1), ApiPort};
  Endpoint Harness_{Subnet_->address(0, 1), HarnessPort};
  Process Platform_ =
      Process::start("standin-platform",
                     {"--api=" + Api_.text(), "--harness=" + Harness_.text()},
                     Folder_.path() / "platform.log");
};

} // namespace

TEST_CASE("entries find each other, lose a killed one, wake and stop",
          "[daemon_test]") {
  Domain Seeb;
  std::vector<Process> Entries;
  for (int I = 0; I < 4; ++I) {
    Seeb.list(I + 1);
    Entries.push_back(Seeb.start(I + 1));
  }
  REQUIRE(waitUntil([&] { return Seeb.agree({1, 2, 3, 4}); }));
  CHECK(Seeb.get(1, "/healthz")->Status_ == 200);

  Entries[3].kill();
  CHECK(waitUntil([&] { return Seeb.agree({1, 2, 3}); }, Seconds(5)));

  Entries[2].pause();
  CHECK(waitUntil([&] { return Seeb.agree({1, 2}); }, Seconds(5)));
  Entries[2].resume();
  CHECK(waitUntil([&] { return Seeb.agree({1, 2, 3}); }, Seconds(10)));
  CHECK(Entries[2].log().find("event=lease_lapsed") != std::string::npos);

  CHECK(Entries[1].stop() == 0);
  CHECK(Entries[1].log().find("event=stopped") != std::string::npos);
  CHECK(waitUntil([&] { return Seeb.agree({1, 3}); }, Seconds(5)));
  for (Process &Each : Entries)
    Each.stop();
}

TEST_CASE("wrong settings and ports in use are all found and nothing starts",
          "[daemon_test]") {
  Domain Seeb;
  const std::string File = Seeb.Folder_.write(
      "wrong.toml", "name = \"a\"\ndomain = 5\naddress = \"here\"\n"
                    "platform = \"127.0.0.1\"\nenvironment = \"e\"\n"
                    "colour = \"red\"\nlog_level = \"LOUD\"\n"
                    "[[keys]]\nid = 1\n"
                    "secret = \"000102030405060708090a0b0c0d0e0f\"\n");
  Process Wrong = Process::start("medlarmoord", {"--settings=" + File},
                                 Seeb.Folder_.path() / "wrong.log");
  CHECK(Wrong.wait(Seconds(10)) == 2);
  const std::string Log = Wrong.log();
  CHECK(std::count(Log.begin(), Log.end(), '\n') == 5);
  for (const char *Line : {":2:", ":3:", ":4:", ":6:", ":7:"})
    CHECK(Log.find("wrong.toml" + std::string(Line)) != std::string::npos);

  Seeb.list(1);
  Process First = Seeb.start(1);
  REQUIRE(waitUntil([&] { return Seeb.get(1, "/healthz").has_value(); }));
  Process Second = Seeb.start(1);
  CHECK(Second.wait(Seconds(10)) == 2);
  for (const char *Port : {"'control'", "'admin'"})
    CHECK(Second.log().find(std::string("port ") + Port) != std::string::npos);
  CHECK(First.stop() == 0);
}
