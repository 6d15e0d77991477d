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

/// Simulates a platform that returns one prepared answer, or none, and records
/// the last request.
class FakePlatform {
public:
  FakePlatform()
      : Server_(Io_, {Subnet_->address(9, 1), Port},
                [this](net::HttpRequest Request, const net::HttpReply &Reply) {
                  LastRequest_ = std::move(Request);
                  if (Answer_)
                    Reply(*Answer_);
                  else
                    UnansweredReply_ = Reply;
                }),
        Client_(Io_, {Subnet_->address(9, 1), Port}, Subnet_->address(1, 1),
                Millis(100), Metrics_) {
    REQUIRE(Server_.listen());
  }

  void answer(unsigned Status, std::string Body) {
    Answer_ = net::HttpResponse{Status, {}, std::move(Body)};
  }

  template <typename Result, typename Call> Result result(Call Start) {
    std::optional<Result> Received;
    Start(Client_,
          [&Received](Result Completed) { Received = std::move(Completed); });
    Io_.restart();
    while (!Received)
      Io_.run_one();
    UnansweredReply_ = nullptr;
    return *Received;
  }

  GetResult get() {
    return result<GetResult>([](Client &Api, auto Done) {
      Api.get("manifest", "muscat", std::move(Done));
    });
  }
  PutResult put(std::optional<std::uint64_t> IfVersion) {
    return result<PutResult>([IfVersion](Client &Api, auto Done) {
      Api.put("manifest", "muscat", "{}", IfVersion, std::move(Done));
    });
  }
  WatchResult watch() {
    return result<WatchResult>([](Client &Api, auto Done) {
      Api.watch("manifest", "muscat", 7, Millis(50), std::move(Done));
    });
  }

  std::optional<harness::Subnet> Subnet_ = harness::Subnet::acquire();
  boost::asio::io_context Io_;
  telemetry::Registry Metrics_;
  net::HttpServer Server_;
  Client Client_;
  net::HttpRequest LastRequest_;
  std::optional<net::HttpResponse> Answer_;
  net::HttpReply UnansweredReply_;
};

} // namespace

TEST_CASE("an object's value has the same form however it was stored") {
  FakePlatform Platform;
  Platform.answer(200, R"({"kind":"manifest","name":"muscat","version":3,)"
                       R"("value":{"b": 1, "a": 2}})");
  const GetResult Read = Platform.get();
  REQUIRE(std::holds_alternative<Object>(Read));
  CHECK(std::get<Object>(Read).Version_ == 3);
  CHECK(std::get<Object>(Read).Value_ == R"({"a":2,"b":1})");
  CHECK(Platform.LastRequest_.Target_ == "/v1/objects/manifest/muscat");
  Platform.answer(404, "{}");
  CHECK(std::holds_alternative<Absent>(Platform.get()));
}

TEST_CASE("a conditional write distinguishes stored, conflicting, refused and "
          "unknown outcomes") {
  FakePlatform Platform;
  Platform.answer(200, R"({"version":4})");
  CHECK(std::get<Stored>(Platform.put(3)).Version_ == 4);
  CHECK(Platform.LastRequest_.Target_ ==
        "/v1/objects/manifest/muscat?ifVersion=3");
  Platform.answer(409, R"({"version":9})");
  CHECK(std::get<Conflict>(Platform.put(3)).Version_ == 9);
  Platform.answer(413, "{}");
  CHECK(std::holds_alternative<Refused>(Platform.put(3)));
  Platform.answer(503, "{}");
  CHECK(std::holds_alternative<Unavailable>(Platform.put({})));
  CHECK(Platform.LastRequest_.Target_ == "/v1/objects/manifest/muscat");
  Platform.Answer_.reset();
  CHECK(std::holds_alternative<Unavailable>(Platform.put({})));
}

TEST_CASE("a watch distinguishes changes, a lost history and no answer") {
  FakePlatform Platform;
  Platform.answer(200, R"({"revision":8,"items":[{"kind":"manifest",)"
                       R"("name":"muscat","version":2,"deleted":true}]})");
  const WatchResult Changed = Platform.watch();
  CHECK(std::get<Listing>(Changed).Revision_ ==
        StoreRevision{StoreEpoch(0), 8});
  CHECK_FALSE(Platform.Client_.epoch());
  Platform.Answer_->Headers_.add("Store-Era", "3");
  CHECK(std::get<Listing>(Platform.watch()).Revision_ ==
        StoreRevision{StoreEpoch(3), 8});
  CHECK(Platform.Client_.epoch() == StoreEpoch(3));
  CHECK(std::get<Listing>(Changed).Items_.at(0).Deleted_);
  CHECK(Platform.LastRequest_.Target_ ==
        "/v1/watch/manifest?after=7&timeoutMs=50&prefix=muscat");
  Platform.answer(410, "{}");
  CHECK(std::holds_alternative<TooOld>(Platform.watch()));
  Platform.Answer_.reset();
  CHECK(std::holds_alternative<Unavailable>(Platform.watch()));
  CHECK(Platform.Metrics_.text().find("medlarmoor_platform_calls_total{call=\""
                                      "watch\"} 4") != std::string::npos);
}

TEST_CASE("malformed answers count as no answer") {
  FakePlatform Platform;
  for (const char *Body :
       {"", "{", "[]", "null", R"({"version":1})", R"({"name":4,"version":1})",
        R"({"name":"a","version":-1,"value":{}})",
        R"({"name":"a","version":1})",
        R"({"name":"a","version":1,"value":"not json"})",
        R"({"revision":1,"items":[4]})", R"({"revision":1,"items":{}})"}) {
    INFO(Body);
    Platform.answer(200, Body);
    CHECK(std::holds_alternative<Unavailable>(Platform.get()));
    CHECK(std::holds_alternative<Unavailable>(Platform.watch()));
    CHECK(std::holds_alternative<Unavailable>(
        Platform.result<InstancesResult>([](Client &Api, auto Done) {
          Api.instances(std::nullopt, std::move(Done));
        })));
  }
  for (const char *Body : {"", "{", "[]", "null", R"({"version":-1})"}) {
    INFO(Body);
    Platform.answer(200, Body);
    CHECK(std::holds_alternative<Unavailable>(Platform.put({})));
  }
}
