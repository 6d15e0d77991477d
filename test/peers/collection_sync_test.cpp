#include <harness/catalog_builder.hpp>

#include <medlarmoor/peers/collection_sync.hpp>
#include <medlarmoor/peers/precedence.hpp>

#include <catch2/catch.hpp>

using namespace medlarmoor;
using namespace medlarmoor::peers;
using medlarmoor::harness::at;
using medlarmoor::harness::revision;

namespace {

const FreshnessTiming Timing{.TakeoverAge_ = Millis(1000),
                             .MaxTakeoverDelay_ = Millis(400),
                             .SpreadStep_ = Millis(150)};
constexpr std::size_t Instances = 5;

/// Returns two addresses, beginning with the one that takes precedence.
std::pair<Endpoint, Endpoint> inPrecedenceOrder() {
  const Endpoint A{Ipv4(0x0a000001), 7720};
  const Endpoint B{Ipv4(0x0a000002), 7720};
  return precedence(A) < precedence(B) ? std::pair(A, B) : std::pair(B, A);
}

/// An instance and its collection.
struct Instance {
  explicit Instance(Endpoint Self)
      : Collection_({}, Random(1)), Sync_(Collection_, Self, Timing) {}

  /// Simulates a complete list up to Revision.
  void list(std::uint64_t Revision, TimePoint Now) {
    REQUIRE(Collection_.recordPage(false, "", revision(Revision), Now, Now));
  }
  SyncStep receive(const CollectionState &Announced, TimePoint Now) {
    return Sync_.receive(Announced, Now, Instances, Now);
  }

  objects::Follower Collection_;
  CollectionSync Sync_;
};

CollectionState stateOf(Endpoint Reader, Millis Age = Millis(100)) {
  return {revision(10), revision(10), Age, Reader};
}

} // namespace

TEST_CASE("of two readers the one with precedence continues to read") {
  const auto [First, Second] = inPrecedenceOrder();
  Instance Yielding(Second);
  Yielding.list(10, at(0));
  CHECK(Yielding.Sync_.reading(at(50)));
  CHECK(Yielding.receive(stateOf(First), at(100)) == SyncStep::Follow);
  CHECK_FALSE(Yielding.Sync_.reading(at(100)));
  CHECK(Yielding.Collection_.deferring(at(100)));
  Instance Continuing(First);
  Continuing.list(10, at(0));
  CHECK(Continuing.receive(stateOf(Second), at(100)) == SyncStep::Ignore);
  CHECK(Continuing.Sync_.reading(at(100)));
}

TEST_CASE("a reader whose calls fail follows any other reader") {
  const auto [First, Second] = inPrecedenceOrder();
  Instance Failing(First);
  Failing.list(10, at(0));
  Failing.Collection_.recordFailure(at(700));
  CHECK(Failing.receive(stateOf(Second), at(900)) == SyncStep::Ignore);
  CHECK(Failing.receive(stateOf(Second), at(1000)) == SyncStep::Follow);
}

TEST_CASE("announced data is relied on until it is too old, whoever passed it "
          "on") {
  const auto [First, Second] = inPrecedenceOrder();
  Instance Other(First);
  Other.list(10, at(0));
  CHECK(Other.receive(stateOf(Second, Millis(300)), at(2000)) ==
        SyncStep::Follow);
  CHECK(Other.Collection_.currentAsOf() == at(1700));
  const TimePoint Takeover =
      at(1700) + Timing.TakeoverAge_ +
      takeoverDelay(First, Instances, Timing.MaxTakeoverDelay_);
  CHECK(Other.Collection_.deferring(Takeover - Millis(1)));
  CHECK_FALSE(Other.Collection_.deferring(Takeover));
  // The same data again, from another peer and later, extends nothing.
  CHECK(Other.receive(stateOf(Second, Millis(700)), at(2300)) ==
        SyncStep::Ignore);
  CHECK_FALSE(Other.Collection_.deferring(Takeover));
}

TEST_CASE("paused process: an announcement that waited in the socket counts as "
          "old") {
  const auto [First, Second] = inPrecedenceOrder();
  Instance Paused(Second);
  Paused.list(10, at(0));
  CHECK(Paused.Sync_.receive(stateOf(First), at(1000), Instances, at(6000)) ==
        SyncStep::Follow);
  CHECK(Paused.Collection_.currentAsOf() == at(900));
  CHECK_FALSE(Paused.Collection_.deferring(at(6000)));
}

TEST_CASE("a peer that has changes is pulled from, one that is behind is not "
          "followed") {
  const auto [First, Second] = inPrecedenceOrder();
  Instance Other(Second);
  CHECK(Other.receive(stateOf(First), at(0)) == SyncStep::Pull);
  Other.list(10, at(0));
  CHECK(Other.receive({revision(12), revision(11), Millis(0), First}, at(10)) ==
        SyncStep::Pull);
  // Revision 12 changed nothing in this collection.
  CHECK(Other.receive({revision(12), revision(10), Millis(0), First}, at(10)) ==
        SyncStep::Follow);
  CHECK(Other.Collection_.revision() == revision(12));
  CHECK(Other.receive({revision(9), revision(9), Millis(0), First}, at(500)) ==
        SyncStep::Ignore);
}

TEST_CASE("pulled changes are as old as the request for them") {
  const auto [First, Second] = inPrecedenceOrder();
  Instance Other(Second);
  CHECK(Other.Sync_.adopt({revision(12), revision(11), Millis(40), First},
                          at(1000), Instances, at(1300)));
  CHECK(Other.Collection_.currentAsOf() == at(960));
  CHECK(Other.Collection_.deferring(at(1300)));
  CHECK(Other.Sync_.state(at(1300))->Reader_ == First);
  CHECK_FALSE(Other.Sync_.adopt({revision(11), revision(11), Millis(0), First},
                                at(1300), Instances, at(1300)));
}

TEST_CASE("news are passed on once: a change, more recent data, another "
          "reader") {
  const auto [First, Second] = inPrecedenceOrder();
  Instance Other(Second);
  CHECK_FALSE(Other.Sync_.takeSpread(at(0)));
  Other.list(10, at(0));
  CHECK(Other.Sync_.takeSpread(at(0)));
  CHECK_FALSE(Other.Sync_.takeSpread(at(10)));
  CHECK(Other.receive(stateOf(First, Millis(10)), at(20)) == SyncStep::Follow);
  CHECK(Other.Sync_.takeSpread(at(20)));
  CHECK(Other.receive(stateOf(First, Millis(10)), at(100)) == SyncStep::Follow);
  CHECK_FALSE(Other.Sync_.takeSpread(at(100)));
  CHECK(Other.receive(stateOf(First, Millis(10)), at(200)) == SyncStep::Follow);
  CHECK(Other.Sync_.takeSpread(at(200)));
  CHECK(Other.Sync_.adopt({revision(12), revision(12), Millis(0), First},
                          at(210), Instances, at(220)));
  CHECK(Other.Sync_.takeSpread(at(220)));
}

TEST_CASE("data that is too old to rely on is not passed on") {
  const auto [First, Second] = inPrecedenceOrder();
  Instance Other(Second);
  Other.list(10, at(0));
  CHECK_FALSE(Other.Sync_.takeSpread(at(1000)));
}
