#include <harness/catalog_builder.hpp>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <map>

using namespace medlarmoor;
using namespace medlarmoor::discovery;
using namespace medlarmoor::harness;

namespace {

using State = CatalogEntry::State;
const ServiceName Web("web");

State stateOf(const Catalog &Each, const std::string &Name) {
  const CatalogEntry *Found = Each.find(affinity::tagOf(UpstreamName(Name)));
  return Found ? Found->State_ : State::Retired;
}

} // namespace

TEST_CASE("an upstream that drains takes no new flows and keeps its own") {
  Catalog Each({});
  Each.apply(whole({upstream("i-1"), upstream("i-2")}), 1, at(0));
  Upstream Draining = upstream("i-1");
  Draining.Draining_ = true;
  Each.apply(listed({Draining}), 2, at(10));
  REQUIRE(Each.candidates(Web).size() == 1);
  CHECK(Each.candidates(Web)[0]->Upstream_.Name_ == UpstreamName("i-2"));
  CHECK(Each.find(affinity::tagOf(UpstreamName("i-1"))) != nullptr);
}

TEST_CASE("an upstream that left is still found for its open flows") {
  Catalog Each({.MaxFlowAge_ = Seconds(60)});
  Each.apply(whole({upstream("i-1")}), 1, at(0));
  Each.apply(unlisted("i-1"), 2, at(100));
  CHECK(Each.candidates(Web).empty());
  Each.expire(at(59'000));
  CHECK(Each.find(affinity::tagOf(UpstreamName("i-1"))) != nullptr);
  Each.expire(at(60'100));
  CHECK(Each.find(affinity::tagOf(UpstreamName("i-1"))) == nullptr);
}

TEST_CASE("an entry that lapsed while the store was away may come back") {
  Catalog Each({.ReregistrationGrace_ = Seconds(2)});
  Each.apply(whole({upstream("i-1"), upstream("i-2")}), 1, at(0));
  Each.storeRecovered(at(10'000));
  Each.apply(whole({upstream("i-2")}), 9, at(10'010));
  CHECK(stateOf(Each, "i-1") == State::Lapsed);
  CHECK(Each.candidates(Web).size() == 2);

  SECTION("it registers again") {
    Each.apply(listed({upstream("i-1")}), 10, at(11'000));
    Each.expire(at(13'000));
    CHECK(stateOf(Each, "i-1") == State::Listed);
    CHECK(Each.candidates(Web).size() == 2);
  }
  SECTION("it stays away and is gone") {
    Each.expire(at(11'990));
    CHECK(Each.candidates(Web).size() == 2);
    Each.expire(at(12'010));
    CHECK(stateOf(Each, "i-1") == State::Retired);
    CHECK(Each.candidates(Web).size() == 1);
  }
}

TEST_CASE("an entry that is removed while the store answers is gone at once") {
  Catalog Each({.ReregistrationGrace_ = Seconds(2)});
  Each.apply(whole({upstream("i-1")}), 1, at(0));
  Each.storeRecovered(at(100));
  Each.apply(unlisted("i-1"), 2, at(2'200));
  CHECK(stateOf(Each, "i-1") == State::Retired);
}

TEST_CASE("an upstream that drained before an outage does not come back") {
  Catalog Each({});
  Upstream Draining = upstream("i-1");
  Draining.Draining_ = true;
  Each.apply(whole({Draining}), 1, at(0));
  Each.storeRecovered(at(10'000));
  Each.apply(whole({}), 2, at(10'010));
  CHECK(stateOf(Each, "i-1") == State::Retired);
}

TEST_CASE("a return of the store that a peer saw earlier does not shorten the "
          "grace") {
  Catalog Each({.ReregistrationGrace_ = Seconds(2)});
  Each.apply(whole({upstream("i-1")}), 1, at(0));
  Each.storeRecovered(at(10'000));
  Each.storeRecovered(at(9'000));
  Each.apply(whole({}), 2, at(11'500));
  CHECK(stateOf(Each, "i-1") == State::Lapsed);
}

TEST_CASE("of two upstreams with one tag the older takes the flows") {
  // These names have the same tag.
  const std::string First = "i-00001fc3";
  const std::string Second = "i-00004de7";
  REQUIRE(affinity::tagOf(UpstreamName(First)) ==
          affinity::tagOf(UpstreamName(Second)));
  Upstream Older = upstream(First);
  Older.CreatedRevision_ = 5;
  Upstream Younger = upstream(Second);
  Younger.CreatedRevision_ = 9;
  for (const bool OlderFirst : {true, false}) {
    Catalog Each({});
    Each.apply(OlderFirst ? whole({Older, Younger}) : whole({Younger, Older}),
               10, at(0));
    REQUIRE(Each.candidates(Web).size() == 1);
    CHECK(Each.candidates(Web)[0]->Upstream_.Name_ == Older.Name_);
  }
}

TEST_CASE("changes passed on give the list that they were taken from") {
  CHECK(rc::check([] {
    Catalog Reader({});
    Catalog Other({});
    std::map<std::string, Upstream> Store;
    std::uint64_t Revision = 1;
    std::uint64_t Known = 0;
    Reader.apply(whole({}), 1, at(0));
    const int Steps = *rc::gen::inRange(1, 20);
    for (int I = 0; I < Steps; ++I) {
      ++Revision;
      const std::string Name = "i-" + std::to_string(*rc::gen::inRange(0, 5));
      if (*rc::gen::arbitrary<bool>()) {
        Upstream Each = upstream(Name);
        Each.Slots_ = *rc::gen::inRange<std::uint32_t>(1, 4);
        Store[Name] = Each;
        Reader.apply(listed({Each}), Revision, at(I));
      } else {
        Store.erase(Name);
        Reader.apply(unlisted(Name), Revision, at(I));
      }
      if (!*rc::gen::arbitrary<bool>())
        continue;
      Other.apply(Reader.changesSince(Known), Revision, at(I));
      Known = Revision;
      const auto Candidates = Other.candidates(Web);
      RC_ASSERT(Candidates.size() == Store.size());
      for (const CatalogEntry *Each : Candidates)
        RC_ASSERT(Store.at(Each->Upstream_.Name_.value()) == Each->Upstream_);
    }
  }));
}

TEST_CASE("a peer that knows too little gets the whole list") {
  Catalog Each({.MaxFlowAge_ = Seconds(60)});
  Each.apply(whole({upstream("i-1"), upstream("i-2")}), 10, at(0));
  CHECK(Each.changesSince(9).IsFullSnapshot_);
  CHECK_FALSE(Each.changesSince(10).IsFullSnapshot_);
  Each.apply(unlisted("i-1"), 12, at(0));
  CHECK(Each.changesSince(11).Removed_.size() == 1);
  // Once the removal is forgotten it can't be told any more.
  Each.expire(at(60'000));
  CHECK(Each.changesSince(11).IsFullSnapshot_);
}
