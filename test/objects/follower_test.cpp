#include <harness/catalog_builder.hpp>

#include <medlarmoor/core/overloaded.hpp>
#include <medlarmoor/objects/follower.hpp>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace medlarmoor;
using namespace medlarmoor::objects;
using medlarmoor::harness::at;

namespace {

const FollowerTiming Timing{.WatchWait_ = Millis(1500),
                            .CallTimeout_ = Millis(700),
                            .Spacing_ = Millis(500)};

Follower fresh() { return Follower(Timing, Random(1)); }

/// A follower that has listed everything up to revision 10 at time 0.
Follower listedUpTo10() {
  Follower Out = fresh();
  REQUIRE(Out.pageRead(false, "", 10, at(0), at(0)));
  return Out;
}

} // namespace

TEST_CASE("a collection is listed page by page and then watched") {
  Follower Each = fresh();
  CHECK(std::get<ListCall>(Each.next(at(0))).After_.empty());
  CHECK_FALSE(Each.currentAsOf());
  CHECK_FALSE(Each.pageRead(true, "i-50", 10, at(0), at(5)));
  CHECK(std::get<ListCall>(Each.next(at(5))).After_ == "i-50");
  CHECK(Each.pageRead(false, "i-80", 12, at(5), at(9)));
  // Changes between the pages come again with the first watch.
  CHECK(std::get<WatchCall>(Each.next(at(9))).Revision_ == 10);
  CHECK(Each.currentAsOf() == at(0));
}

TEST_CASE("changes in quick succession cost one call") {
  Follower Each = listedUpTo10();
  CHECK(Each.changesRead(true, 12, at(100)));
  CHECK(std::get<Pause>(Each.next(at(100))).Until_ == at(600));
  CHECK(std::get<WatchCall>(Each.next(at(600))).Revision_ == 12);
}

TEST_CASE("answers are never further apart than the longest wait") {
  Follower Each = listedUpTo10();
  CHECK(Each.changesRead(true, 12, at(100)));
  CHECK(std::get<WatchCall>(Each.next(at(600))).Wait_ == Millis(1000));
  Each.defer(12, at(700), at(2000));
  CHECK(std::get<Pause>(Each.next(at(1000))).Until_ == at(2000));
  CHECK(std::get<WatchCall>(Each.next(at(2000))).Wait_ == Millis(200));
  CHECK(std::get<WatchCall>(Each.next(at(9000))).Wait_ == Millis(0));
}

TEST_CASE("a dropped history is listed anew") {
  Follower Each = listedUpTo10();
  Each.historyLost(at(50));
  CHECK(std::holds_alternative<ListCall>(Each.next(at(50))));
  CHECK(Each.pageRead(false, "", 99, at(50), at(60)));
  CHECK(std::get<WatchCall>(Each.next(at(60))).Revision_ == 99);
}

TEST_CASE("failed calls are repeated after growing pauses") {
  Follower Each = listedUpTo10();
  TimePoint Now = at(0);
  Millis Longest(0);
  for (int I = 0; I < 10; ++I) {
    Each.failed(Now);
    const TimePoint Until = std::get<Pause>(Each.next(Now)).Until_;
    CHECK(Until > Now);
    CHECK(Until <= Now + Timing.LongestBackoff_);
    Longest =
        std::max(Longest, std::chrono::duration_cast<Millis>(Until - Now));
    Now = Until;
  }
  CHECK(Longest >= Timing.LongestBackoff_ / 2);
  CHECK(Each.storeAway(Now));
  CHECK(Each.changesRead(false, 10, Now));
  CHECK_FALSE(Each.failingSince());
  CHECK_FALSE(Each.storeAway(Now));
}

TEST_CASE("an outage began when the collection was last known to be current") {
  // A peer read for this follower until the store went away.
  Follower Each = listedUpTo10();
  Each.defer(10, at(1000), at(3600));
  Each.failed(at(4300));
  CHECK(Each.storeAway(at(4400)));
  // A single failed call is no outage.
  Follower Brief = listedUpTo10();
  Brief.defer(10, at(4000), at(4200));
  Brief.failed(at(4300));
  CHECK_FALSE(Brief.storeAway(at(4400)));
}

TEST_CASE("a list that breaks off begins again") {
  Follower Each = fresh();
  CHECK_FALSE(Each.pageRead(true, "i-50", 10, at(0), at(5)));
  Each.failed(at(10));
  CHECK(std::get<ListCall>(Each.next(at(2000))).After_.empty());
  CHECK(Each.pageRead(false, "", 20, at(2000), at(2001)));
  CHECK(Each.revision() == 20);
}

TEST_CASE("an answer that is older than what a peer gave is not taken") {
  Follower Each = listedUpTo10();
  Each.adopt(20, 18, at(90));
  CHECK_FALSE(Each.changesRead(true, 15, at(100)));
  CHECK(Each.revision() == 20);
  Follower Listing = fresh();
  Listing.adopt(20, 18, at(0));
  CHECK_FALSE(Listing.pageRead(false, "", 15, at(0), at(10)));
  CHECK(Listing.revision() == 20);
}

TEST_CASE("a peer's reading replaces calls until it ends") {
  Follower Each = listedUpTo10();
  Each.defer(14, at(90), at(900));
  CHECK(Each.deferring(at(899)));
  CHECK(Each.revision() == 14);
  CHECK(Each.currentAsOf() == at(90));
  CHECK(std::holds_alternative<Pause>(Each.next(at(899))));
  Each.stopDeferring();
  CHECK(std::holds_alternative<WatchCall>(Each.next(at(100))));
}

TEST_CASE("neither revision nor time goes back under any order of events") {
  CHECK(rc::check([] {
    Follower Each = fresh();
    TimePoint Now = at(0);
    std::uint64_t Revision = 0;
    std::optional<TimePoint> Current;
    const int Steps = *rc::gen::inRange(1, 60);
    for (int I = 0; I < Steps; ++I) {
      Now += Millis(*rc::gen::inRange(0, 800));
      const std::uint64_t Told = *rc::gen::inRange<std::uint64_t>(1, 50);
      switch (*rc::gen::inRange(0, 5)) {
      case 0:
        (void)Each.changesRead(*rc::gen::arbitrary<bool>(), Told, Now);
        break;
      case 1:
        Each.failed(Now);
        break;
      case 2:
        Each.defer(Told, Now - Millis(100), Now + Millis(800));
        break;
      case 3:
        if (Told > Each.revision())
          Each.adopt(Told, Told, Now - Millis(50));
        break;
      default:
        Each.historyLost(Now);
        break;
      }
      RC_ASSERT(Each.revision() >= Revision);
      Revision = Each.revision();
      if (Current)
        RC_ASSERT(Each.currentAsOf().has_value());
      Current = Each.currentAsOf();
      // Whatever happened, the next call is never far away.
      const FollowerStep Next = Each.next(Now);
      if (const auto *Wait = std::get_if<Pause>(&Next))
        RC_ASSERT(Wait->Until_ <= Now + Millis(1000));
    }
  }));
}
