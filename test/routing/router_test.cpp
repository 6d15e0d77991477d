#include <medlarmoor/routing/router.hpp>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace medlarmoor;
using namespace medlarmoor::routing;

namespace {

Endpoint address(std::uint16_t Port) { return {Ipv4(0xc6120001), Port}; }

Route route(std::uint16_t Port, const std::string &Service) {
  Route Out;
  Out.Name_ = "r-" + std::to_string(Port);
  Out.Address_ = address(Port);
  Out.Services_ = {{ServiceName(Service), 1}};
  return Out;
}

RouteTable table(std::uint64_t Version, const std::vector<Route> &Routes) {
  RouteTable Out;
  Out.Version_ = ConfigVersion(Version);
  for (const Route &Each : Routes)
    Out.Routes_.emplace(Each.Address_, Each);
  return Out;
}

} // namespace

TEST_CASE("an older table never replaces a newer one") {
  Router Each;
  CHECK_FALSE(Each.ready());
  CHECK(Each.adopt(table(7, {route(443, "a")}), 10));
  CHECK(Each.ready());
  CHECK_FALSE(Each.adopt(table(7, {route(443, "b")}), 11));
  CHECK_FALSE(Each.adopt(table(4, {route(443, "b")}), 12));
  CHECK_FALSE(Each.merge({true, ConfigVersion(6), {}, {}, {}}, 13));
  CHECK(Each.find(address(443))->Services_[0].Service_ == ServiceName("a"));
  CHECK(Each.table().Version_ == ConfigVersion(7));
}

TEST_CASE("a route that a table leaves out is gone") {
  Router Each;
  CHECK(Each.adopt(table(1, {route(443, "a"), route(8443, "a")}), 1));
  CHECK(Each.adopt(table(2, {route(443, "a")}), 2));
  CHECK(Each.find(address(8443)) == nullptr);
}

TEST_CASE("weights split flows by their hash") {
  Route Each = route(443, "a");
  Each.Services_ = {{ServiceName("a"), 90}, {ServiceName("b"), 10}};
  std::size_t B = 0;
  for (std::uint64_t Hash = 0; Hash < 1000; ++Hash)
    B += Each.serviceFor(Hash) == ServiceName("b") ? 1U : 0U;
  CHECK(B == 100);
  Each.Services_ = {{ServiceName("a"), 0}, {ServiceName("b"), 0}};
  CHECK(Each.serviceFor(5) == ServiceName("a"));
}

TEST_CASE("changes passed on give the table that they were taken from") {
  CHECK(rc::check([] {
    Router Reader;
    Router Other;
    std::uint64_t Revision = 1;
    std::uint64_t Known = 0;
    const auto Step = [&] {
      std::vector<Route> Routes;
      for (std::uint16_t Port = 1; Port < 8; ++Port)
        if (*rc::gen::arbitrary<bool>())
          Routes.push_back(
              route(Port, *rc::gen::element<std::string>("a", "b")));
      RC_ASSERT(Reader.adopt(table(Revision, Routes), Revision));
    };
    const int Steps = *rc::gen::inRange(1, 12);
    for (int I = 0; I < Steps; ++I, ++Revision) {
      Step();
      if (!*rc::gen::arbitrary<bool>())
        continue;
      RC_ASSERT(Other.merge(Reader.changesSince(Known), Revision));
      Known = Revision;
      RC_ASSERT(Other.table().Routes_ == Reader.table().Routes_);
      RC_ASSERT(Other.table().Version_ == Reader.table().Version_);
    }
  }));
}
