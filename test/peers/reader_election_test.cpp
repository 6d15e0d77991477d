#include <harness/catalog_builder.hpp>

#include <medlarmoor/peers/member_table.hpp>
#include <medlarmoor/peers/reader_election.hpp>

#include <catch2/catch.hpp>

using namespace medlarmoor;
using namespace medlarmoor::peers;
using medlarmoor::harness::at;

namespace {

const ElectionTiming Timing{.Trust_ = Millis(1800),
                            .Silence_ = Millis(800),
                            .Step_ = Millis(40),
                            .LongestStep_ = Millis(200)};

Announcement reader(Endpoint From, Millis Age = Millis(100)) {
  Announcement Out;
  Out.From_ = From;
  Out.Reading_ = true;
  Out.Upstreams_ = CollectionState{10, 10, Age};
  Out.Routes_ = CollectionState{10, 10, Age};
  return Out;
}

/// Two addresses, the one that takes precedence first.
std::pair<Endpoint, Endpoint> inOrder() {
  const Endpoint A{Ipv4(0x0a000001), 7720};
  const Endpoint B{Ipv4(0x0a000002), 7720};
  return precedence(A) < precedence(B) ? std::pair(A, B) : std::pair(B, A);
}

} // namespace

TEST_CASE("of two readers the one that comes first goes on") {
  const auto [First, Second] = inOrder();
  CHECK(ReaderElection(Second, Timing).trusts(reader(First), true));
  CHECK_FALSE(ReaderElection(First, Timing).trusts(reader(Second), true));
}

TEST_CASE("who does not read relies on any reader") {
  const auto [First, Second] = inOrder();
  CHECK(ReaderElection(First, Timing).trusts(reader(Second), false));
}

TEST_CASE("a reader whose reading is old or missing is not relied on") {
  const auto [First, Second] = inOrder();
  const ReaderElection Each(Second, Timing);
  CHECK_FALSE(Each.trusts(reader(First, Timing.Trust_), false));
  Announcement Half = reader(First);
  Half.Routes_.reset();
  CHECK_FALSE(Each.trusts(Half, false));
  Announcement Idle = reader(First);
  Idle.Reading_ = false;
  CHECK_FALSE(Each.trusts(Idle, false));
}

TEST_CASE("a cut reader is replaced before a change must be in force") {
  // It is cut off right after an answer; until its reading is too old it is
  // relied on, then it counts as silent, and the last in line takes over.
  const ReaderElection Each({Ipv4(1), 1}, Timing);
  const TimePoint LastTrusted = at(0) + Timing.Trust_;
  CHECK(Each.deferUntil(LastTrusted, 0) == at(2600));
  CHECK(Each.deferUntil(LastTrusted, 1) == at(2640));
  CHECK(Each.deferUntil(LastTrusted, 500) <= at(2800));
}
