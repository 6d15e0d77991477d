#include <harness/catalog_builder.hpp>

#include <medlarmoor/peers/member_table.hpp>

#include <catch2/catch.hpp>

#include <algorithm>

using namespace medlarmoor;
using namespace medlarmoor::peers;
using medlarmoor::harness::at;

namespace {

Endpoint address(std::uint32_t Host) { return {Ipv4(0x0a000000 + Host), 7720}; }

Member member(std::uint32_t Host, const char *Domain = "seeb",
              Millis Age = Millis(0)) {
  return {address(Host), DomainName(Domain), Age};
}

} // namespace

TEST_CASE("seeds are asked as long as few members are known") {
  MemberTable Each(address(1), {address(1), address(2), address(3)}, Random(1));
  CHECK(Each.gossipTargets() == std::vector{address(2), address(3)});
  for (std::uint32_t Host = 4; Host < 10; ++Host)
    CHECK(Each.heard(member(Host), at(0)));
  CHECK_FALSE(Each.heard(member(4), at(0)));
  CHECK(Each.gossipTargets().size() == 3);
}

TEST_CASE("a member that nobody hears of is forgotten") {
  MemberTable Each(address(1), {}, Random(1));
  Each.heard(member(2), at(0));
  Each.heard(member(3, "seeb", Millis(5000)), at(0));
  // Old news does not make it younger.
  Each.heard(member(2, "seeb", Millis(4000)), at(2000));
  Each.expire(at(5000));
  CHECK(Each.all() == std::vector{address(2)});
  Each.expire(at(10'000));
  CHECK(Each.size() == 0);
  CHECK_FALSE(Each.heard(member(2, "seeb", Millis(60'000)), at(10'000)));
}

TEST_CASE("an instance does not count itself") {
  MemberTable Each(address(1), {}, Random(1));
  CHECK_FALSE(Each.heard(member(1), at(0)));
  CHECK(Each.size() == 0);
}

TEST_CASE("members are told by failure domain") {
  MemberTable Each(address(1), {}, Random(1));
  Each.heard(member(2, "seeb"), at(0));
  Each.heard(member(3, "amerat"), at(0));
  CHECK(Each.inDomain(DomainName("amerat")) == std::vector{address(3)});
}

TEST_CASE("all instances see the same order of take-over") {
  std::vector<std::size_t> Ranks;
  for (std::uint32_t Self = 1; Self <= 5; ++Self) {
    MemberTable Each(address(Self), {}, Random(Self));
    for (std::uint32_t Host = 1; Host <= 5; ++Host)
      Each.heard(member(Host), at(0));
    Ranks.push_back(Each.rank());
  }
  std::sort(Ranks.begin(), Ranks.end());
  CHECK(Ranks == std::vector<std::size_t>{0, 1, 2, 3, 4});
}
