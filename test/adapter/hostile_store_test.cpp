#include <harness/mutate.hpp>

#include <packet.hpp>
#include <store.hpp>

#include <medlarmoor/discovery/catalog.hpp>
#include <medlarmoor/routing/router.hpp>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace medlarmoor;
using namespace medlarmoor::adapter;
using medlarmoor::harness::mutate;

namespace {

std::string serverObject(const std::string &Name,
                         const std::string &WarmUp = "120.5") {
  return R"({"meta":{"name":")" + Name +
         R"(","revision":12,"created":9,"finalizers":[],"deleting":false},)"
         R"("spec":{"service":"huvo11a","address":"10.128.0.9:8080",)"
         R"("zone":"seeb","version":"v1","concurrency":2,"state":"ready",)"
         R"("warmupLeftMs":)" +
         WarmUp + R"(,"sequence":4,"born":1781374192000},"status":null})";
}

std::string listPage(const std::string &Items) {
  return R"({"items":[)" + Items + R"(],"more":false,"storeRevision":530})";
}

const std::string ConfigPage =
    R"({"items":[{"meta":{"name":"main","created":1},"spec":{"version":3,)"
    R"("limits":{"idleTimeoutMs":15000},"routes":[{"name":"r","type":"safe",)"
    R"("host":"198.18.0.1","pathPrefix":"/443/","service":"web",)"
    R"("timeoutMs":1000,"targetLatencyMs":150,"priority":2}]}}],)"
    R"("more":false,"storeRevision":530})";

auto readServers(const std::string &Body) {
  std::string Reason;
  return storeCodec().Upstreams_.Read_(Body, Reason);
}

} // namespace

TEST_CASE("hostile store: no page of upstreams stops this instance") {
  const std::string Page =
      listPage(serverObject("i-7f3a91c2") + "," + serverObject("i-7f3a91c3"));
  CHECK(rc::check([&] {
    const auto Received = readServers(mutate(Page));
    if (!Received)
      return;
    discovery::Catalog Catalog({});
    discovery::UpstreamChanges Changes;
    Changes.IsFullSnapshot_ = true;
    for (const auto &Item : Received->Items_)
      if (Item.Value_)
        Changes.Listed_.push_back(*Item.Value_);
    const TimePoint Now{Seconds(1000)};
    Catalog.apply(std::move(Changes), {StoreEpoch(1), Received->Revision_},
                  Now);
    for (const auto *Entry : Catalog.candidates(ServiceName("huvo11a")))
      (void)Entry->warmingUp(Now);
    Catalog.expire(Now + Seconds(100));
  }));
}

TEST_CASE("hostile store: no page of routes stops this instance") {
  CHECK(rc::check([&] {
    std::string Reason;
    const auto Received =
        storeCodec().Routes_.Read_(mutate(ConfigPage), Reason);
    if (!Received)
      return;
    routing::Router Router;
    for (const auto &Item : Received->Items_)
      if (Item.Value_)
        Router.adopt(*Item.Value_);
    for (const auto &[Address, Route] : Router.table().Routes_)
      (void)Route.serviceFor(12345);
  }));
}

TEST_CASE("an entry with bytes that cannot be read names no upstream, and the "
          "others hold") {
  std::string Broken = serverObject("i-7f3a91c2");
  Broken.replace(Broken.find("huvo11a"), 7, "\xff\xfe\xc3(\x80 ");
  const auto Page =
      readServers(listPage(Broken + "," + serverObject("i-7f3a91c3")));
  REQUIRE(Page);
  REQUIRE(Page->Items_.size() == 2);
  CHECK(Page->Items_[1].Value_);
}

namespace {

/// The text of a good object with one field of its specification replaced.
std::string oddObject(const std::string &Field, const std::string &Value) {
  std::string Object = serverObject("i-7f3a91c2");
  const std::size_t Begin =
      Object.find("\"" + Field + "\":", Object.find("\"spec\"")) +
      Field.size() + 3;
  const std::size_t End = Object.find_first_of(",}", Begin);
  return Object.replace(Begin, End - Begin, Value);
}

std::string nested(std::size_t Depth) {
  return std::string(Depth, '[') + std::string(Depth, ']');
}

struct OddValue {
  const char *What_;
  const char *Field_;
  std::string Value_;
};

const std::vector<OddValue> OddValues{
    {"deeply nested", "service", nested(100'000)},
    {"deeply nested objects", "version",
     "{\"a\":" + nested(50'000) + ",\"b\":1}"},
    {"a number that no double holds", "sequence", "1e999"},
    {"a number that no double holds in a read field", "concurrency", "-1e999"},
    {"a count above 32 bits", "concurrency", "4294967301"},
    {"a count above 64 bits", "concurrency", "99999999999999999999"},
    {"a port out of range", "address", R"("10.128.0.9:70000")"},
    {"a port above 64 bits", "address", R"("10.128.0.9:99999999999999999999")"},
    {"a lone surrogate", "service", R"("\ud800")"},
    {"an escape that does not exist", "service", R"("\x41")"},
    {"bytes that are not UTF-8", "zone", "\"\xff\xfe\xc3(\x80\""},
    {"a raw control character", "zone", "\"a\x01z\""},
    {"no value", "zone", "nul"},
};

} // namespace

// Guards against one odd entry that stops an instance or keeps it from reading
// the other entries.
TEST_CASE("another writer: an odd entry of a list names no upstream, and the "
          "entries beside it are read") {
  std::string Neighbour = serverObject("i-7f3a91c3");
  Neighbour.replace(Neighbour.find("huvo11a"), 7, "caf\u00e9");
  for (const OddValue &Odd : OddValues) {
    INFO(Odd.What_);
    const auto Page = readServers(listPage(serverObject("i-7f3a91c1") + "," +
                                           oddObject(Odd.Field_, Odd.Value_) +
                                           "," + Neighbour));
    REQUIRE(Page);
    CHECK(Page->Revision_ == 530);
    CHECK(Page->LastName_ == "i-7f3a91c3");
    REQUIRE(Page->Items_.size() == 3);
    CHECK(Page->Items_[0].Value_);
    // Fields that are not used may hold anything that can be parsed.
    CHECK_FALSE(Page->Items_[1].Value_);
    CHECK_FALSE(Page->Items_[1].Error_.empty());
    CHECK(Page->Items_[1].Name_ == "i-7f3a91c2");
    REQUIRE(Page->Items_[2].Value_);
    CHECK(Page->Items_[2].Value_->Service_ == ServiceName("caf\u00e9"));
  }
}

TEST_CASE("another writer: an odd entry in a watch names no upstream, and the "
          "reader goes on behind it") {
  for (const OddValue &Odd : OddValues) {
    INFO(Odd.What_);
    const auto Page = readServers(
        R"({"storeRevision":531,"events":[{"object":)" +
        oddObject(Odd.Field_, Odd.Value_) + R"(,"deleted":false},{"object":)" +
        serverObject("i-7f3a91c3") + R"(,"deleted":true},{"deleted":false,)" +
        R"("object":)" + serverObject("i-7f3a91c4") + "}]}");
    REQUIRE(Page);
    CHECK(Page->Revision_ == 531);
    REQUIRE(Page->Items_.size() == 3);
    CHECK_FALSE(Page->Items_[0].Value_);
    CHECK_FALSE(Page->Items_[0].Error_.empty());
    CHECK_FALSE(Page->Items_[1].Value_);
    CHECK(Page->Items_[1].Error_.empty());
    CHECK(Page->Items_[1].Name_ == "i-7f3a91c3");
    CHECK(Page->Items_[2].Value_);
  }
}

TEST_CASE("another writer: whatever one entry holds, the entries beside it are "
          "read") {
  CHECK(rc::check([] {
    // Inside a string, so that the page stays balanced.
    std::string Noise = *rc::gen::container<std::string>(rc::gen::suchThat(
        rc::gen::arbitrary<char>(), [](char Byte) { return Byte != '"'; }));
    Noise.erase(std::find(Noise.begin(), Noise.end(), '\\'), Noise.end());
    const auto Page =
        readServers(listPage(serverObject("i-7f3a91c1") + "," +
                             oddObject("service", "\"" + Noise + "\"") + "," +
                             serverObject("i-7f3a91c3")));
    RC_ASSERT(Page.has_value());
    RC_ASSERT(Page->Items_.size() == 3U);
    RC_ASSERT(Page->Items_[0].Value_.has_value());
    RC_ASSERT(Page->Items_[2].Value_.has_value());
  }));
}

TEST_CASE("a warm-up time that is out of range is limited") {
  const auto Page = readServers(listPage(serverObject("i-7f3a91c2", "1e300")));
  REQUIRE(Page);
  REQUIRE(Page->Items_[0].Value_);
  CHECK(Page->Items_[0].Value_->WarmUp_ <= std::chrono::hours(24));
}

TEST_CASE("no datagram of a client stops this instance") {
  CHECK(rc::check([](const std::vector<std::uint8_t> &Noise) {
    std::vector<std::byte> Datagram(8 + Noise.size());
    for (std::size_t I = 0; I < Noise.size(); ++I)
      Datagram[8 + I] = std::byte{Noise[I]};
    const edge::PacketCodec Codec = packetCodec();
    const auto Parsed = Codec.Read_(std::span(Datagram).subspan(8));
    if (!Parsed)
      return;
    Codec.WriteTag_(std::span(Datagram).subspan(8), affinity::Tag(7));
    Codec.WriteEncapsulation_(Datagram, 9);
    (void)Codec.MakeReset_(*Parsed);
  }));
}
