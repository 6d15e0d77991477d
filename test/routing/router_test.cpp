#include <medlarmoor/routing/router.hpp>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace medlarmoor;
using namespace medlarmoor::routing;

namespace {

Endpoint address(std::uint16_t Port) { return {Ipv4(0xc6120001), Port}; }

Route route(std::uint16_t Port, const std::string &Service) {
  Route Result;
  Result.Name_ = "r-" + std::to_string(Port);
  Result.Address_ = address(Port);
  Result.Services_ = {{ServiceName(Service), 1}};
  return Result;
}

RouteTable table(std::uint64_t Version, const std::vector<Route> &Routes) {
  RouteTable Result;
  Result.Version_ = ConfigVersion(Version);
  for (const Route &Listed : Routes)
    Result.Routes_.emplace(Listed.Address_, Listed);
  return Result;
}

} // namespace

TEST_CASE("an older table never replaces a newer one") {
  Router Routes;
  CHECK_FALSE(Routes.ready());
  CHECK(Routes.adopt(table(7, {route(443, "a")}), 10));
  CHECK(Routes.ready());
  CHECK_FALSE(Routes.adopt(table(7, {route(443, "b")}), 11));
  CHECK_FALSE(Routes.adopt(table(4, {route(443, "b")}), 12));
  CHECK_FALSE(Routes.merge({true, ConfigVersion(6), {}, {}, {}}, 13));
  CHECK(Routes.find(address(443))->Services_[0].Service_ == ServiceName("a"));
  CHECK(Routes.table().Version_ == ConfigVersion(7));
}

TEST_CASE("a route that is missing from a newer table is removed") {
  Router Routes;
  CHECK(Routes.adopt(table(1, {route(443, "a"), route(8443, "a")}), 1));
  CHECK(Routes.adopt(table(2, {route(443, "a")}), 2));
  CHECK(Routes.find(address(8443)) == nullptr);
}

TEST_CASE("weights split flows by their hash") {
  Route Split = route(443, "a");
  Split.Services_ = {{ServiceName("a"), 90}, {ServiceName("b"), 10}};
  std::size_t B = 0;
  for (std::uint64_t Hash = 0; Hash < 1000; ++Hash)
    B += Split.serviceFor(Hash) == ServiceName("b") ? 1U : 0U;
  CHECK(B == 100);
  Split.Services_ = {{ServiceName("a"), 0}, {ServiceName("b"), 0}};
  CHECK(Split.serviceFor(5) == ServiceName("a"));
}

TEST_CASE(
    "changes sent to a peer reproduce the table that they were taken from") {
  CHECK(rc::check([] {
    Router Reader;
    Router Peer;
    std::uint64_t Revision = 1;
    std::uint64_t PeerRevision = 0;
    const auto AdoptNext = [&] {
      std::vector<Route> Routes;
      for (std::uint16_t Port = 1; Port < 8; ++Port)
        if (*rc::gen::arbitrary<bool>())
          Routes.push_back(
              route(Port, *rc::gen::element<std::string>("a", "b")));
      RC_ASSERT(Reader.adopt(table(Revision, Routes), Revision));
    };
    const int Steps = *rc::gen::inRange(1, 12);
    for (int I = 0; I < Steps; ++I, ++Revision) {
      AdoptNext();
      if (!*rc::gen::arbitrary<bool>())
        continue;
      RC_ASSERT(Peer.merge(Reader.changesSince(PeerRevision), Revision));
      PeerRevision = Revision;
      RC_ASSERT(Peer.table().Routes_ == Reader.table().Routes_);
      RC_ASSERT(Peer.table().Version_ == Reader.table().Version_);
    }
  }));
}
