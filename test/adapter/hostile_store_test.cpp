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
