#include <harness/catalog_builder.hpp>

#include <medlarmoor/peers/member_table.hpp>
#include <medlarmoor/peers/reader_election.hpp>

#include <catch2/catch.hpp>

using namespace medlarmoor;
using namespace medlarmoor::peers;
using medlarmoor::harness::at;

namespace {

const ElectionTiming Timing{.TrustPeriod_ = Millis(1800),
                            .SilencePeriod_ = Millis(800),
                            .TakeoverStep_ = Millis(40),
                            .MaxTakeoverDelay_ = Millis(200)};

Announcement announcementOfReader(Endpoint From, Millis Age = Millis(100)) {
  Announcement Message;
  Message.From_ = From;
  Message.IsReader_ = true;
  Message.Upstreams_ = CollectionState{10, 10, Age};
  Message.Routes_ = CollectionState{10, 10, Age};
  return Message;
}

/// Returns two addresses, beginning with the one that takes precedence.
std::pair<Endpoint, Endpoint> inPrecedenceOrder() {
  const Endpoint A{Ipv4(0x0a000001), 7720};
  const Endpoint B{Ipv4(0x0a000002), 7720};
  return precedence(A) < precedence(B) ? std::pair(A, B) : std::pair(B, A);
}

} // namespace

TEST_CASE("of two readers the one with precedence continues to read") {
  const auto [First, Second] = inPrecedenceOrder();
  CHECK(
      ReaderElection(Second, Timing).trusts(announcementOfReader(First), true));
  CHECK_FALSE(
      ReaderElection(First, Timing).trusts(announcementOfReader(Second), true));
}

TEST_CASE("an instance that does not read the store trusts any reader") {
  const auto [First, Second] = inPrecedenceOrder();
  CHECK(ReaderElection(First, Timing)
            .trusts(announcementOfReader(Second), false));
}

TEST_CASE("a reader with an outdated or missing collection is not trusted") {
  const auto [First, Second] = inPrecedenceOrder();
  const ReaderElection Election(Second, Timing);
  CHECK_FALSE(
      Election.trusts(announcementOfReader(First, Timing.TrustPeriod_), false));
  Announcement Incomplete = announcementOfReader(First);
  Incomplete.Routes_.reset();
  CHECK_FALSE(Election.trusts(Incomplete, false));
  Announcement NotReading = announcementOfReader(First);
  NotReading.IsReader_ = false;
  CHECK_FALSE(Election.trusts(NotReading, false));
}

TEST_CASE("a reader that is cut off from the store is replaced before a change "
          "must be in force") {
  // The reader is cut off right after an answer. Others trust it until its
  // reading is too old and wait for the silence period; then the last successor
  // takes over.
  const ReaderElection Election({Ipv4(1), 1}, Timing);
  const TimePoint LastTrusted = at(0) + Timing.TrustPeriod_;
  CHECK(Election.deferUntil(LastTrusted, 0) == at(2600));
  CHECK(Election.deferUntil(LastTrusted, 1) == at(2640));
  CHECK(Election.deferUntil(LastTrusted, 500) <= at(2800));
}
