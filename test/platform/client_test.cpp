#include <harness/subnet.hpp>
#include <medlarmoor/net/http_server.hpp>
#include <medlarmoor/platform/client.hpp>
#include <medlarmoor/telemetry/registry.hpp>

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

using namespace medlarmoor;
using namespace medlarmoor::platform;

namespace {

constexpr std::uint16_t Port = 7400;

/// A platform that gives one prepared answer and remembers the request.
class Fake {
public:
  Fake()
      : Server_(Io_, {Subnet_->address(9, 1), Port},
                [this](net::HttpRequest Request, const net::HttpReply &Reply) {
                  Seen_ = std::move(Request);
                  if (Answer_)
                    Reply(*Answer_);
                  else
                    Held_ = Reply;
                }),
        Client_(Io_, {Subnet_->address(9, 1), Port}, Subnet_->address(1, 1),
                Millis(100), Metrics_) {
    REQUIRE(Server_.listen());
  }

  void answer(unsigned Status, std::string Body) {
    Answer_ = net::HttpResponse{Status, {}, std::move(Body)};
  }

  template <typename Result, typename Call> Result result(Call Start) {
    std::optional<Result> Out;
    Start(Client_, [&Out](Result Each) { Out = std::move(Each); });
    Io_.restart();
    while (!Out)
      Io_.run_one();
    Held_ = nullptr;
    return *Out;
  }

  GetResult get() {
    return result<GetResult>([](Client &To, auto Done) {
      To.get("manifest", "muscat", std::move(Done));
    });
  }
  PutResult put(std::optional<std::uint64_t> IfVersion) {
    return result<PutResult>([IfVersion](Client &To, auto Done) {
      To.put("manifest", "muscat", "{}", IfVersion, std::move(Done));
    });
  }
  WatchResult watch() {
    return result<WatchResult>([](Client &To, auto Done) {
      To.watch("manifest", "muscat", 7, Millis(50), std::move(Done));
    });
  }

  std::optional<harness::Subnet> Subnet_ = harness::Subnet::acquire();
  boost::asio::io_context Io_;
  telemetry::Registry Metrics_;
  net::HttpServer Server_;
  Client Client_;
  net::HttpRequest Seen_;
  std::optional<net::HttpResponse> Answer_;
  net::HttpReply Held_;
};

} // namespace

TEST_CASE("an object is read in one form however it was stored") {
  Fake On;
  On.answer(200, R"({"kind":"manifest","name":"muscat","version":3,)"
                 R"("value":{"b": 1, "a": 2}})");
  const GetResult Read = On.get();
  REQUIRE(std::holds_alternative<Object>(Read));
  CHECK(std::get<Object>(Read).Version_ == 3);
  CHECK(std::get<Object>(Read).Value_ == R"({"a":2,"b":1})");
  CHECK(On.Seen_.Target_ == "/v1/objects/manifest/muscat");
  On.answer(404, "{}");
  CHECK(std::holds_alternative<Absent>(On.get()));
}

TEST_CASE("a conditional write tells apart stored, conflict and unknown") {
  Fake On;
  On.answer(200, R"({"version":4})");
  CHECK(std::get<Stored>(On.put(3)).Version_ == 4);
  CHECK(On.Seen_.Target_ == "/v1/objects/manifest/muscat?ifVersion=3");
  On.answer(409, R"({"version":9})");
  CHECK(std::get<Conflict>(On.put(3)).Version_ == 9);
  On.answer(413, "{}");
  CHECK(std::holds_alternative<Refused>(On.put(3)));
  On.answer(503, "{}");
  CHECK(std::holds_alternative<Unavailable>(On.put({})));
  CHECK(On.Seen_.Target_ == "/v1/objects/manifest/muscat");
  On.Answer_.reset();
  CHECK(std::holds_alternative<Unavailable>(On.put({})));
}

TEST_CASE("a watch tells apart changes, a lost history and silence") {
  Fake On;
  On.answer(200, R"({"revision":8,"items":[{"kind":"manifest",)"
                 R"("name":"muscat","version":2,"deleted":true}]})");
  const WatchResult Changed = On.watch();
  CHECK(std::get<Listing>(Changed).Revision_ == 8);
  CHECK(std::get<Listing>(Changed).Items_.at(0).Deleted_);
  CHECK(On.Seen_.Target_ ==
        "/v1/watch/manifest?after=7&timeoutMs=50&prefix=muscat");
  On.answer(410, "{}");
  CHECK(std::holds_alternative<TooOld>(On.watch()));
  On.Answer_.reset();
  CHECK(std::holds_alternative<Unavailable>(On.watch()));
  CHECK(On.Metrics_.text().find("medlarmoor_platform_calls_total{call=\""
                                "watch\"} 3") != std::string::npos);
}

TEST_CASE("malformed answers count as no answer") {
  Fake On;
  for (const char *Body :
       {"", "{", "[]", "null", R"({"version":1})", R"({"name":4,"version":1})",
        R"({"name":"a","version":-1,"value":{}})",
        R"({"name":"a","version":1})",
        R"({"name":"a","version":1,"value":"not json"})",
        R"({"revision":1,"items":[4]})", R"({"revision":1,"items":{}})"}) {
    INFO(Body);
    On.answer(200, Body);
    CHECK(std::holds_alternative<Unavailable>(On.get()));
    CHECK(std::holds_alternative<Unavailable>(On.watch()));
    CHECK(std::holds_alternative<Unavailable>(
        On.result<InstancesResult>([](Client &To, auto Done) {
          To.instances(std::nullopt, std::move(Done));
        })));
  }
  for (const char *Body : {"", "{", "[]", "null", R"({"version":-1})"}) {
    INFO(Body);
    On.answer(200, Body);
    CHECK(std::holds_alternative<Unavailable>(On.put({})));
  }
}
