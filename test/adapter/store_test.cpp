#include <store.hpp>

#include <catch2/catch.hpp>

using namespace medlarmoor;
using namespace medlarmoor::adapter;

namespace {

std::string server(const std::string &Name, const std::string &Spec) {
  return R"({"meta":{"name":")" + Name +
         R"(","revision":12,"created":9,"finalizers":[],"deleting":false},)"
         R"("spec":)" +
         Spec + R"(,"status":null})";
}

const std::string GoodSpec =
    R"({"service":"huvo11a","address":"10.128.0.9:8080","zone":"seeb",)"
    R"("version":"v1","concurrency":2,"state":"ready","warmupLeftMs":120.5,)"
    R"("sequence":4,"born":1781374192000})";

std::string list(const std::string &Items) {
  return R"({"items":[)" + Items + R"(],"more":false,"storeRevision":530})";
}

auto readServers(const std::string &Body) {
  std::string Reason;
  return storeCodec().Upstreams_.Read_(Body, Reason);
}

auto readConfig(const std::string &Spec) {
  std::string Reason;
  return storeCodec().Routes_.Read_(
      list(R"({"meta":{"name":"main","created":1},"spec":)" + Spec + "}"),
      Reason);
}

} // namespace

TEST_CASE("an upstream's entry is read") {
  const auto Page = readServers(list(server("i-7f3a91c2", GoodSpec)));
  REQUIRE(Page);
  CHECK(Page->Revision_ == 530);
  CHECK_FALSE(Page->More_);
  REQUIRE(Page->Items_.size() == 1);
  REQUIRE(Page->Items_[0].Value_);
  const discovery::Upstream &Each = *Page->Items_[0].Value_;
  CHECK(Each.Name_ == UpstreamName("i-7f3a91c2"));
  CHECK(Each.Identity_ == 0x7f3a91c2);
  CHECK(Each.Service_ == ServiceName("huvo11a"));
  CHECK(Each.Address_.text() == "10.128.0.9:8080");
  CHECK(Each.Domain_ == DomainName("seeb"));
  CHECK(Each.Slots_ == 2);
  CHECK_FALSE(Each.Draining_);
  CHECK(Each.WarmUp_ == Millis(120));
  CHECK(Each.StartedAt_ == WallTime(Millis(1781374192000)));
  CHECK(Each.CreatedAt_ == 9);
}

TEST_CASE("an entry from another writer names no upstream; the others hold") {
  for (const char *Spec :
       {"null", "7", "[]", R"("text")", "{}",
        R"({"service":1,"address":"10.0.0.1:1","zone":"z","concurrency":2,)"
        R"("state":"ready","warmupLeftMs":0})",
        R"({"service":"s","address":"nowhere","zone":"z","concurrency":2,)"
        R"("state":"ready","warmupLeftMs":0})",
        R"({"service":"s","address":"10.0.0.1:1","zone":"z","concurrency":0,)"
        R"("state":"ready","warmupLeftMs":0})",
        R"({"service":"s","address":"10.0.0.1:1","zone":"z","concurrency":2,)"
        R"("state":"sleeping","warmupLeftMs":0})",
        R"({"service":"s","address":"10.0.0.1:1","zone":"z","concurrency":2,)"
        R"("state":"ready","warmupLeftMs":"no"})"}) {
    INFO(Spec);
    const auto Page = readServers(
        list(server("i-1", Spec) + "," + server("i-7f3a91c2", GoodSpec)));
    REQUIRE(Page);
    REQUIRE(Page->Items_.size() == 2);
    CHECK_FALSE(Page->Items_[0].Value_);
    CHECK_FALSE(Page->Items_[0].Problem_.empty());
    CHECK(Page->Items_[1].Value_);
  }
}

TEST_CASE("a watch gives changed and deleted objects") {
  const auto Page =
      readServers(R"({"events":[{"deleted":true,"object":)" +
                  server("i-1", GoodSpec) + R"(},{"deleted":false,"object":)" +
                  server("i-2", GoodSpec) + R"(}],"storeRevision":533})");
  REQUIRE(Page);
  CHECK(Page->Revision_ == 533);
  CHECK(Page->Items_[0].Name_ == "i-1");
  CHECK_FALSE(Page->Items_[0].Value_);
  CHECK(Page->Items_[0].Problem_.empty());
  CHECK(Page->Items_[1].Value_);
}

TEST_CASE("a list goes on behind its last name") {
  const auto Page = readServers(R"({"items":[)" + server("i-1", GoodSpec) +
                                R"(],"more":true,"storeRevision":5})");
  REQUIRE(Page);
  CHECK(Page->More_);
  CHECK(Page->LastName_ == "i-1");
  const auto Codec = storeCodec().Upstreams_;
  CHECK(Codec.ListTarget_("") == "/medlarmoor/objects/servers");
  CHECK(Codec.ListTarget_("i-1") == "/medlarmoor/objects/servers?after=i-1");
  CHECK(Codec.WatchTarget_(530, Millis(1350)) ==
        "/medlarmoor/objects/servers?watch=530&waitMs=1350");
}

TEST_CASE("a body that is no page is refused with a reason") {
  for (const char *Body : {"", "{", "[]", "{}", R"({"storeRevision":"x"})",
                           R"({"storeRevision":1,"items":7})"}) {
    INFO(Body);
    std::string Reason;
    CHECK_FALSE(storeCodec().Upstreams_.Read_(Body, Reason));
    CHECK_FALSE(Reason.empty());
  }
}

TEST_CASE("the route document is read") {
  const auto Page =
      readConfig(R"({"version":7,"routes":[)"
                 R"({"name":"r-1","host":"198.18.0.1","pathPrefix":"/8080/",)"
                 R"("type":"unsafe","timeoutMs":1200,"targetLatencyMs":200,)"
                 R"("priority":1,"service":"a","maxAttempts":2},)"
                 R"({"name":"r-2","host":"198.18.0.1","pathPrefix":"/8443/",)"
                 R"("type":"safe","timeoutMs":1000,"targetLatencyMs":150,)"
                 R"("priority":2,"backends":[{"service":"a","weight":90},)"
                 R"({"service":"b","weight":10}],"maxAttempts":2}],)"
                 R"("services":[],"limits":{"idleTimeoutMs":15000}})");
  REQUIRE(Page);
  REQUIRE(Page->Items_[0].Value_);
  const routing::RouteTable &Table = *Page->Items_[0].Value_;
  CHECK(Table.Version_ == ConfigVersion(7));
  CHECK(Table.IdleTimeout_ == Millis(15'000));
  const routing::Route &First =
      Table.Routes_.at(*Endpoint::parse("198.18.0.1:8080"));
  CHECK(First.Kind_ == routing::RequestKind::Unsafe);
  CHECK(First.Timeout_ == Millis(1200));
  CHECK(First.Services_.size() == 1);
  const routing::Route &Second =
      Table.Routes_.at(*Endpoint::parse("198.18.0.1:8443"));
  CHECK(Second.Kind_ == routing::RequestKind::Safe);
  CHECK(Second.Services_[1].Weight_ == 10);
}

TEST_CASE("a route document that can't be read is no table") {
  for (const char *Spec : {"{}", R"({"version":7,"routes":[],"limits":{}})",
                           R"({"version":7,"routes":[{"name":"r"}],)"
                           R"("limits":{"idleTimeoutMs":1}})"}) {
    INFO(Spec);
    const auto Page = readConfig(Spec);
    REQUIRE(Page);
    CHECK_FALSE(Page->Items_[0].Value_);
    CHECK_FALSE(Page->Items_[0].Problem_.empty());
  }
}
