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

TEST_CASE("gossip goes to all seeds while few members are known") {
  MemberTable Members(address(1), {address(1), address(2), address(3)},
                      Random(1));
  CHECK(Members.gossipTargets() == std::vector{address(2), address(3)});
  for (std::uint32_t Host = 4; Host < 10; ++Host)
    CHECK(Members.observe(member(Host), at(0)));
  CHECK_FALSE(Members.observe(member(4), at(0)));
  CHECK(Members.gossipTargets().size() == 3);
}

TEST_CASE("a member that no instance hears from is evicted") {
  MemberTable Members(address(1), {}, Random(1));
  Members.observe(member(2), at(0));
  Members.observe(member(3, "seeb", Millis(5000)), at(0));
  // An older report does not extend its lifetime.
  Members.observe(member(2, "seeb", Millis(4000)), at(2000));
  Members.expire(at(5000));
  CHECK(Members.all() == std::vector{address(2)});
  Members.expire(at(10'000));
  CHECK(Members.size() == 0);
  CHECK_FALSE(Members.observe(member(2, "seeb", Millis(60'000)), at(10'000)));
}

TEST_CASE("an instance is not a member of its own table") {
  MemberTable Members(address(1), {}, Random(1));
  CHECK_FALSE(Members.observe(member(1), at(0)));
  CHECK(Members.size() == 0);
}

TEST_CASE("members are listed by failure domain") {
  MemberTable Members(address(1), {}, Random(1));
  Members.observe(member(2, "seeb"), at(0));
  Members.observe(member(3, "amerat"), at(0));
  CHECK(Members.inDomain(DomainName("amerat")) == std::vector{address(3)});
}

TEST_CASE("all instances compute the same takeover order") {
  std::vector<std::size_t> Ranks;
  for (std::uint32_t Self = 1; Self <= 5; ++Self) {
    MemberTable Members(address(Self), {}, Random(Self));
    for (std::uint32_t Host = 1; Host <= 5; ++Host)
      Members.observe(member(Host), at(0));
    Ranks.push_back(Members.rank());
  }
  std::sort(Ranks.begin(), Ranks.end());
  CHECK(Ranks == std::vector<std::size_t>{0, 1, 2, 3, 4});
}
