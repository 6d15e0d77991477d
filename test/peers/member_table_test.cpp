#include <harness/catalog_builder.hpp>

#include <medlarmoor/peers/member_table.hpp>
#include <medlarmoor/peers/precedence.hpp>

#include <catch2/catch.hpp>

#include <algorithm>
#include <set>

using namespace medlarmoor;
using namespace medlarmoor::peers;
using medlarmoor::harness::at;

namespace {

Endpoint address(std::uint32_t Host) { return {Ipv4(0x0a000000 + Host), 7720}; }

Member member(std::uint32_t Host, const char *Domain = "seeb",
              Millis Age = Millis(0)) {
  return {address(Host), DomainName(Domain), Age};
}

MemberTable table() {
  return MemberTable(address(1), DomainName("seeb"), {}, Random(1));
}

} // namespace

TEST_CASE("gossip goes to all seeds while few members are known") {
  MemberTable Members(address(1), DomainName("seeb"),
                      {address(1), address(2), address(3)}, Random(1));
  CHECK(Members.gossipTargets() == std::vector{address(2), address(3)});
  for (std::uint32_t Host = 4; Host < 10; ++Host)
    CHECK(Members.observe(member(Host), at(0)));
  CHECK_FALSE(Members.observe(member(4), at(0)));
  CHECK(Members.gossipTargets().size() == 3);
}

TEST_CASE("a member that no instance hears from is evicted") {
  MemberTable Members = table();
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
  MemberTable Members = table();
  CHECK_FALSE(Members.observe(member(1), at(0)));
  CHECK(Members.size() == 0);
}

TEST_CASE("news go to members of the own failure domain and to others") {
  MemberTable Members = table();
  for (std::uint32_t Host = 2; Host < 12; ++Host)
    Members.observe(member(Host, Host < 7 ? "seeb" : "amerat"), at(0));
  const auto Targets =
      Members.spreadTargets(RandomFanout{.Local_ = 2, .Any_ = 2}, at(100));
  CHECK(std::set(Targets.begin(), Targets.end()).size() == 4);
  CHECK(std::count_if(Targets.begin(), Targets.end(), [](Endpoint Target) {
          return Target < address(7);
        }) >= 2);
  CHECK(Members.spreadTargets(AllMembers{}, at(100)).size() == 10);
}

TEST_CASE("news go to all members of a small fleet") {
  MemberTable Members = table();
  for (std::uint32_t Host = 2; Host < 6; ++Host)
    Members.observe(member(Host, "amerat"), at(0));
  CHECK(Members.spreadTargets(RandomFanout{.Local_ = 2, .Any_ = 2}, at(100))
            .size() == 4);
}

TEST_CASE("news go to members that were heard from recently, if there are "
          "enough") {
  MemberTable Members = table();
  for (std::uint32_t Host = 2; Host < 20; ++Host)
    Members.observe(member(Host, "seeb", Millis(Host < 16 ? 6000 : 10)), at(0));
  for (int Round = 0; Round < 20; ++Round)
    for (const Endpoint Target :
         Members.spreadTargets(RandomFanout{.Local_ = 2, .Any_ = 2}, at(100)))
      CHECK(Target >= address(16));
}

TEST_CASE("a large fleet: the table keeps a bounded number of members, those "
          "heard from most recently") {
  MemberTable Members = table();
  for (std::uint32_t Host = 2; Host < 1000; ++Host)
    Members.observe(member(Host, Host % 2 == 0 ? "seeb" : "amerat"), at(Host));
  CHECK(Members.size() == 64);
  for (const Endpoint Known : Members.all())
    CHECK(Known >= address(1000 - 64));
  CHECK(Members.expire(at(20'000)) == 64);
  CHECK(Members.size() == 0);
}

TEST_CASE("few instances take over early, whatever the size of the fleet") {
  constexpr Millis MaxDelay{400};
  for (const std::size_t Size : {5U, 30U, 118U, 1000U, 4000U}) {
    std::size_t Early = 0;
    for (std::uint32_t Host = 0; Host < Size; ++Host) {
      const Millis Delay = takeoverDelay(address(Host), Size, MaxDelay);
      CHECK(Delay >= Millis(0));
      CHECK(Delay <= MaxDelay);
      Early += Delay < MaxDelay / 8 ? 1 : 0;
    }
    INFO(Size);
    CHECK(Early <= 8);
  }
}

TEST_CASE("an instance with precedence takes over no later than others") {
  for (std::uint32_t Host = 0; Host < 100; ++Host)
    if (precedence(address(Host)) < precedence(address(Host + 1)))
      CHECK(takeoverDelay(address(Host), 100, Millis(400)) <=
            takeoverDelay(address(Host + 1), 100, Millis(400)));
}
