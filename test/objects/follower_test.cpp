#include <harness/catalog_builder.hpp>

#include <medlarmoor/core/overloaded.hpp>
#include <medlarmoor/objects/follower.hpp>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace medlarmoor;
using namespace medlarmoor::objects;
using medlarmoor::harness::at;
using medlarmoor::harness::revision;

namespace {

const FollowerTiming Timing{.WatchWait_ = Millis(1500),
                            .CallTimeout_ = Millis(700),
                            .BatchDelay_ = Millis(500)};

Follower unlistedFollower() { return Follower(Timing, Random(1)); }

/// Returns a follower that has listed everything up to revision 10 at time 0.
Follower listedUpTo10() {
  Follower Listed = unlistedFollower();
  REQUIRE(Listed.recordPage(false, "", revision(10), at(0), at(0)));
  return Listed;
}

} // namespace

TEST_CASE("a collection is listed page by page and then watched") {
  Follower Collection = unlistedFollower();
  CHECK(std::get<ListCall>(Collection.next(at(0))).After_.empty());
  CHECK_FALSE(Collection.currentAsOf());
  CHECK_FALSE(Collection.recordPage(true, "i-50", revision(10), at(0), at(5)));
  CHECK(std::get<ListCall>(Collection.next(at(5))).After_ == "i-50");
  CHECK(Collection.recordPage(false, "i-80", revision(12), at(5), at(9)));
  // The first watch repeats the changes between the pages.
  CHECK(std::get<Pause>(Collection.next(at(9))).Until_ == at(509));
  CHECK(std::get<WatchCall>(Collection.next(at(509))).Revision_ ==
        revision(10));
  CHECK(Collection.currentAsOf() == at(0));
}

TEST_CASE("changes in quick succession cost one call") {
  Follower Collection = listedUpTo10();
  CHECK(Collection.recordChanges(Collection.revision(), true, revision(12),
                                 at(0), at(100)));
  CHECK(std::get<Pause>(Collection.next(at(100))).Until_ == at(600));
  CHECK(std::get<WatchCall>(Collection.next(at(600))).Revision_ ==
        revision(12));
}

TEST_CASE("answers are never further apart than the wait of a watch") {
  Follower Collection = listedUpTo10();
  CHECK(Collection.recordChanges(Collection.revision(), true, revision(12),
                                 at(0), at(100)));
  CHECK(std::get<WatchCall>(Collection.next(at(600))).Wait_ == Millis(1000));
  Collection.defer(revision(12), at(700), at(2000));
  CHECK(std::get<Pause>(Collection.next(at(1000))).Until_ == at(2000));
  CHECK(std::get<WatchCall>(Collection.next(at(2000))).Wait_ == Millis(200));
  CHECK(std::get<WatchCall>(Collection.next(at(9000))).Wait_ == Millis(0));
}

TEST_CASE(
    "a collection is listed again after the store has dropped its history") {
  Follower Collection = listedUpTo10();
  Collection.recordHistoryLoss(Collection.revision(), at(50));
  CHECK(std::holds_alternative<ListCall>(Collection.next(at(50))));
  CHECK(Collection.recordPage(false, "", revision(99), at(50), at(60)));
  CHECK(std::get<WatchCall>(Collection.next(at(560))).Revision_ ==
        revision(99));
}

// Guards against a watch that goes on from a revision of the lost history, of
// which the restored store gives the number out again.
TEST_CASE("restored store: the collection is listed again when an answer is of "
          "another epoch") {
  Follower Watching = listedUpTo10();
  CHECK_FALSE(Watching.recordChanges(Watching.revision(), true, revision(12, 2),
                                     at(0), at(100)));
  CHECK(std::holds_alternative<ListCall>(Watching.next(at(100))));
  CHECK(Watching.revision() == revision(10));
  CHECK(Watching.recordPage(false, "", revision(7, 2), at(100), at(105)));
  CHECK(Watching.revision() == revision(7, 2));
  CHECK(Watching.lastChange() == revision(7, 2));

  Follower Refused = listedUpTo10();
  Refused.recordFailure(at(0));
  Refused.recordEpoch(StoreEpoch(1));
  CHECK(std::holds_alternative<WatchCall>(Refused.next(at(5000))));
  Refused.recordEpoch(StoreEpoch(2));
  CHECK(std::holds_alternative<ListCall>(Refused.next(at(5000))));
}

TEST_CASE("restored store: pages of two epochs are not joined to one list") {
  Follower Collection = unlistedFollower();
  CHECK_FALSE(Collection.recordPage(true, "i-50", revision(10), at(0), at(5)));
  CHECK_FALSE(
      Collection.recordPage(false, "i-80", revision(7, 2), at(5), at(9)));
  CHECK(std::get<ListCall>(Collection.next(at(9))).After_.empty());
  CHECK_FALSE(Collection.currentAsOf());
}

TEST_CASE("restored store: an answer of the lost history is ignored") {
  Follower Collection = listedUpTo10();
  Collection.adopt(revision(7, 2), revision(6, 2), at(50));
  CHECK_FALSE(Collection.recordChanges(Collection.revision(), true,
                                       revision(12), at(40), at(60)));
  CHECK(Collection.revision() == revision(7, 2));
  Collection.recordHistoryLoss(Collection.revision(), at(70));
  CHECK_FALSE(Collection.recordPage(false, "", revision(12), at(40), at(80)));
  CHECK(Collection.revision() == revision(7, 2));
}

// Guards against changes that are skipped because the answer to a watch of the
// lost history counts from a peer's revision of the new one.
TEST_CASE(
    "restored store: an answer to a watch that was sent before a peer told "
    "of the restore is ignored") {
  Follower Collection = listedUpTo10();
  const StoreRevision Since = Collection.revision();
  Collection.adopt(revision(7, 2), revision(7, 2), at(50));
  CHECK_FALSE(
      Collection.recordChanges(Since, false, revision(12, 2), at(40), at(60)));
  CHECK(std::get<WatchCall>(Collection.next(at(60))).Revision_ ==
        revision(7, 2));
  Collection.recordHistoryLoss(Since, at(70));
  CHECK(std::holds_alternative<WatchCall>(Collection.next(at(70))));
}

TEST_CASE("failed calls are retried with a growing backoff") {
  Follower Collection = listedUpTo10();
  TimePoint Now = at(0);
  Millis LongestPause(0);
  for (int Attempt = 0; Attempt < 10; ++Attempt) {
    Collection.recordFailure(Now);
    const TimePoint Until = std::get<Pause>(Collection.next(Now)).Until_;
    CHECK(Until > Now);
    CHECK(Until <= Now + Timing.MaxBackoff_);
    LongestPause =
        std::max(LongestPause, std::chrono::duration_cast<Millis>(Until - Now));
    Now = Until;
  }
  CHECK(LongestPause >= Timing.MaxBackoff_ / 2);
  CHECK(Collection.inOutage(Now));
  CHECK(Collection.recordChanges(Collection.revision(), false, revision(10),
                                 Now, Now));
  CHECK_FALSE(Collection.failingSince());
  CHECK_FALSE(Collection.inOutage(Now));
}

TEST_CASE("an outage is counted from when the collection was last known to be "
          "current") {
  // A peer read the store for this follower until the outage.
  Follower Collection = listedUpTo10();
  Collection.defer(revision(10), at(1000), at(3600));
  Collection.recordFailure(at(4300));
  CHECK(Collection.inOutage(at(4400)));
  // A single failed call is not an outage.
  Follower Brief = listedUpTo10();
  Brief.defer(revision(10), at(4000), at(4200));
  Brief.recordFailure(at(4300));
  CHECK_FALSE(Brief.inOutage(at(4400)));
}

TEST_CASE("an interrupted list starts again from its first page") {
  Follower Collection = unlistedFollower();
  CHECK_FALSE(Collection.recordPage(true, "i-50", revision(10), at(0), at(5)));
  Collection.recordFailure(at(10));
  CHECK(std::get<ListCall>(Collection.next(at(2000))).After_.empty());
  CHECK(Collection.recordPage(false, "", revision(20), at(2000), at(2001)));
  CHECK(Collection.revision() == revision(20));
}

TEST_CASE("an answer older than a peer's snapshot is ignored") {
  Follower Collection = listedUpTo10();
  Collection.adopt(revision(20), revision(18), at(90));
  CHECK_FALSE(Collection.recordChanges(Collection.revision(), true,
                                       revision(15), at(80), at(100)));
  CHECK(Collection.revision() == revision(20));
  Follower Listing = unlistedFollower();
  Listing.adopt(revision(20), revision(18), at(0));
  CHECK_FALSE(Listing.recordPage(false, "", revision(15), at(0), at(10)));
  CHECK(Listing.revision() == revision(20));
}

TEST_CASE("a peer's reading replaces calls until the deferral ends") {
  Follower Collection = listedUpTo10();
  Collection.defer(revision(14), at(90), at(900));
  CHECK(Collection.deferring(at(899)));
  CHECK(Collection.revision() == revision(14));
  CHECK(Collection.currentAsOf() == at(90));
  CHECK(std::holds_alternative<Pause>(Collection.next(at(899))));
  CHECK(std::holds_alternative<WatchCall>(Collection.next(at(900))));
}

TEST_CASE("paused process: an answer of the store counts as old as its call") {
  Follower Collection = listedUpTo10();
  CHECK(Collection.recordChanges(Collection.revision(), false, revision(11),
                                 at(100), at(5000)));
  CHECK(Collection.currentAsOf() == at(100));
  CHECK(std::get<WatchCall>(Collection.next(at(5000))).Wait_ == Millis(0));
  // The next answer is recent, although it is as old as its call.
  CHECK(Collection.recordChanges(Collection.revision(), false, revision(11),
                                 at(5000), at(5004)));
  CHECK(std::get<WatchCall>(Collection.next(at(5004))).Wait_ ==
        Timing.WatchWait_);
}

TEST_CASE("more recent data is not replaced by an older time") {
  Follower Collection = listedUpTo10();
  Collection.defer(revision(12), at(900), at(1500));
  Collection.adopt(revision(20), revision(18), at(800));
  CHECK(Collection.currentAsOf() == at(900));
}

TEST_CASE("the revision never decreases and its time stays known under any "
          "order of events") {
  CHECK(rc::check([] {
    Follower Collection = unlistedFollower();
    TimePoint Now = at(0);
    StoreRevision LastRevision;
    std::optional<TimePoint> LastAsOf;
    const int StepCount = *rc::gen::inRange(1, 60);
    for (int Step = 0; Step < StepCount; ++Step) {
      Now += Millis(*rc::gen::inRange(0, 800));
      const StoreRevision Drawn =
          revision(*rc::gen::inRange<std::uint64_t>(1, 50),
                   *rc::gen::inRange<std::uint64_t>(1, 4));
      switch (*rc::gen::inRange(0, 5)) {
      case 0:
        (void)Collection.recordChanges(Collection.revision(),
                                       *rc::gen::arbitrary<bool>(), Drawn,
                                       Now - Millis(20), Now);
        break;
      case 1:
        Collection.recordFailure(Now);
        break;
      case 2:
        Collection.defer(Drawn, Now - Millis(100), Now + Millis(800));
        break;
      case 3:
        if (Drawn > Collection.revision())
          Collection.adopt(Drawn, Drawn, Now - Millis(50));
        break;
      default:
        Collection.recordHistoryLoss(Collection.revision(), Now);
        break;
      }
      RC_ASSERT(Collection.revision() >= LastRevision);
      LastRevision = Collection.revision();
      if (LastAsOf)
        RC_ASSERT(Collection.currentAsOf().has_value());
      LastAsOf = Collection.currentAsOf();
      // The next call is due within a second after any event.
      const FollowerStep Next = Collection.next(Now);
      if (const auto *Wait = std::get_if<Pause>(&Next))
        RC_ASSERT(Wait->Until_ <= Now + Millis(1000));
    }
  }));
}
