#include <medlarmoor/membership/view.hpp>

#include <catch2/catch.hpp>

#include <map>

using namespace medlarmoor;
using namespace medlarmoor::membership;

namespace {

Member member(const std::string &Name, MemberState State = MemberState::Live) {
  return {EntryName(Name), Ipv4(0x7F000001), State};
}

} // namespace

TEST_CASE("views of the same members in any order have the same id and homes") {
  const View A(EntryName("a"), {member("a"), member("b"), member("c")});
  const View B(EntryName("b"), {member("c"), member("a"), member("b")});
  CHECK(A.id() == B.id());
  for (std::uint64_t Key = 0; Key < 1000; ++Key)
    CHECK(A.home(Key)->Name_ == B.home(Key)->Name_);
}

TEST_CASE("a leaving member changes the home of its own keys only") {
  const View Full(EntryName("a"), {member("a"), member("b"), member("c")});
  const View Reduced(EntryName("a"), {member("a"), member("b"),
                                      member("c", MemberState::Leaving)});
  CHECK(Full.id() != Reduced.id());
  std::map<std::string, int> Homes;
  for (std::uint64_t Key = 0; Key < 3000; ++Key) {
    const Member *Before = Full.home(Key);
    const Member *After = Reduced.home(Key);
    ++Homes[Before->Name_.value()];
    if (Before->Name_ == EntryName("c"))
      CHECK(After->Name_ == Full.homeWithout(Key, EntryName("c"))->Name_);
    else
      CHECK(After->Name_ == Before->Name_);
  }
  for (const auto &[Name, Count] : Homes)
    CHECK(Count > 850);
}
