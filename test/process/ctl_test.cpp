#include <harness/json_http.hpp>
#include <harness/process.hpp>
#include <harness/subnet.hpp>
#include <harness/temp_folder.hpp>

#include <medlarmoor/config/read_environment.hpp>
#include <medlarmoor/config/status_report.hpp>
#include <medlarmoor/core/clock.hpp>
#include <medlarmoor/net/http_client.hpp>
#include <medlarmoor/net/http_server.hpp>

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

#include <fstream>
#include <iterator>
#include <thread>

using namespace medlarmoor;
using namespace medlarmoor::harness;
using nlohmann::json;

namespace {

const std::string Golden = MEDLARMOOR_SOURCE_DIR "/test/process/golden/ctl.txt";

std::string contents(const std::string &File) {
  std::ifstream In(File);
  return {std::istreambuf_iterator<char>(In), {}};
}

void replaceAll(std::string &Text, const std::string &What,
                const std::string &By) {
  for (std::size_t At = Text.find(What); At != std::string::npos;
       At = Text.find(What, At + By.size()))
    Text.replace(At, What.size(), By);
}

/// The platform stand-in and a transcript of the commands run against it.
class Session {
public:
  Session() { REQUIRE(Platform_.waitHealthy(Harness_)); }

  /// Runs the command and writes it, its output and its exit code down.
  void run(const std::vector<std::string> &Words) {
    std::vector<std::string> Arguments = Words;
    Arguments.push_back("--patience_ms=300");
    if (Words[0] != "check" && Words[0] != "explain")
      Arguments.push_back("--platform=" + Api_.text());
    Process Command = Process::start(
        "medlarmoorctl", Arguments,
        Folder_.path() / ("ctl-" + std::to_string(++Commands_) + ".log"));
    const std::optional<int> Code = Command.wait(Seconds(20));
    REQUIRE(Code);
    Transcript_ += "$ medlarmoorctl";
    for (const std::string &Each : Words)
      Transcript_ += " " + Each;
    Transcript_ +=
        "\n" + Command.log() + "exit " + std::to_string(*Code) + "\n\n";
  }

  /// Writes a document and returns its path.
  [[nodiscard]] std::string document(const std::string &Name,
                                     const config::Environment &Content) const {
    return Folder_.write(Name, config::writeEnvironment(Content));
  }

  /// Reports an entry as a domain's watcher does.
  void report(const std::string &Environment, const std::string &Domain,
              const std::map<std::string, std::uint64_t> &Versions,
              Seconds Since, Seconds Silence = Seconds(0)) const {
    const WallTime Now = Clock().wallNow() - Silence;
    config::StatusReport Out{EntryName("writer"), Now, {}};
    for (const auto &[Name, Version] : Versions)
      Out.Entries_[EntryName(Name)] = {ConfigVersion(Version), Now - Since};
    REQUIRE(callJson(Api_, "PUT",
                     "/v1/objects/status/" + Environment + "." + Domain,
                     json::parse(Out.text())));
  }

  void list(const std::string &Name, const std::string &Domain) const {
    REQUIRE(callJson(
        Harness_, "PUT", "/instances/" + Name,
        {{"domain", Domain}, {"address", "127.0.0.1"}, {"state", "live"}}));
  }

  /// What was written down, without what differs from run to run.
  [[nodiscard]] std::string transcript() const {
    std::string Out = Transcript_;
    replaceAll(Out, Folder_.path().string() + "/", "");
    replaceAll(Out, Api_.text(), "PLATFORM");
    replaceAll(Out, Admin_.text(), "ENTRY");
    return Out;
  }

  TempFolder Folder_;
  std::optional<Subnet> Subnet_ = Subnet::acquire();
  Endpoint Api_{Subnet_->address(9, 1), 7400};
  Endpoint Harness_{Subnet_->address(9, 1), 7401};
  Endpoint Admin_{Subnet_->address(11, 1), 7182};
  Process Platform_ =
      Process::start("standin-platform",
                     {"--api=" + Api_.text(), "--harness=" + Harness_.text()},
                     Folder_.path() / "platform.log");

private:
  std::string Transcript_;
  int Commands_ = 0;
};

config::Environment trial() {
  Findings Found;
  config::Environment Out =
      config::readEnvironmentFile(MEDLARMOOR_SOURCE_DIR "/examples/muscat.toml",
                                  Found)
          .value();
  Out.Name_ = "muscat-trial";
  return Out;
}

/// Answers one explain request like an entry's admin port.
class FakeAdmin {
public:
  explicit FakeAdmin(Endpoint Where)
      : Server_(
            Io_, Where,
            [](const net::HttpRequest &Request, const net::HttpReply &Reply) {
              const bool Known = Request.query("key") == "seeb-1-a";
              Reply({Known ? 200U : 404U,
                     {},
                     Known ? R"({"outcome":"not_run","rule":"queue full",)"
                             R"("version":2,"upstreams":{"busy":15}})"
                           : R"({"reason":"unknown key"})"});
            }) {
    REQUIRE(Server_.listen());
    Thread_ = std::thread([this] { Io_.run(); });
  }
  ~FakeAdmin() {
    Io_.stop();
    Thread_.join();
  }
  FakeAdmin(const FakeAdmin &) = delete;
  FakeAdmin &operator=(const FakeAdmin &) = delete;

private:
  boost::asio::io_context Io_;
  net::HttpServer Server_;
  std::thread Thread_;
};

} // namespace

TEST_CASE("a session of the operator command reads as its golden file",
          "[ctl_test]") {
  Session On;
  const FakeAdmin Admin(On.Admin_);
  config::Environment Document = trial();
  const std::string First = On.document("first.toml", Document);
  Document.Services_[1].Upstreams_[0].Drain_ = true;
  Document.Services_[0].Policy_.Epsilon_ = 0.5;
  const std::string Second = On.document("second.toml", Document);
  const std::string Wrong = On.Folder_.write(
      "wrong.toml", "name = \"muscat-trial\"\nservices = 4\n[[domain]]\n"
                    "name = \"seeb\"\nregoin = \"coast\"\n");

  On.run({"check", First});
  On.run({"check", Wrong});
  On.run({"check", Wrong, "--output=json"});
  On.run({"apply", Wrong});
  On.run({"diff", Second});
  On.run({"apply", First, "--seen=0"});
  On.run({"apply", First});
  On.run({"diff", Second});
  On.run({"apply", Second, "--seen=0"});
  On.run({"apply", Second, "--seen=1", "--output=json"});

  On.list("seeb-1", "seeb");
  On.list("seeb-2", "seeb");
  On.run({"status", "muscat-trial"});
  On.report("muscat-trial", "seeb", {{"seeb-1", 2}, {"seeb-2", 1}},
            Seconds(700));
  On.run({"status", "muscat-trial"});
  const std::vector<std::string> Promote{"promote", "--from=muscat-trial",
                                         "--to=muscat", "--seen=2"};
  On.run({"promote", "--from=muscat-trial", "--to=muscat", "--seen=1"});
  On.run(Promote);
  On.report("muscat-trial", "seeb", {{"seeb-1", 2}, {"seeb-2", 2}},
            Seconds(700), Seconds(60));
  On.run({"status", "muscat-trial"});
  On.run(Promote);
  On.report("muscat-trial", "seeb", {{"seeb-1", 2}, {"seeb-2", 2}},
            Seconds(700));
  On.run(Promote);
  On.run({"status", "muscat"});
  On.run({"diff", First, "--output=json"});

  On.run({"explain", "--entry=" + On.Admin_.text(), "--key=seeb-1-a"});
  On.run({"explain", "--entry=" + On.Admin_.text(), "--key=seeb-1-b"});
  REQUIRE(callJson(On.Harness_, "POST", "/control", {{"outage", true}}));
  On.run({"status", "muscat", "--output=json"});
  On.run({"apply", First, "--seen=2"});
  On.run({"promote", "--from=muscat-trial"});
  On.run({"aply", First});

  const std::string Seen = On.transcript();
  std::ofstream(MEDLARMOOR_BIN_DIR "/ctl.txt") << Seen;
  INFO("what was seen is in " MEDLARMOOR_BIN_DIR "/ctl.txt");
  CHECK(Seen == contents(Golden));
}
