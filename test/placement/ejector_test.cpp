#include <harness/catalog_builder.hpp>

#include <medlarmoor/placement/ejector.hpp>

#include <catch2/catch.hpp>

using namespace medlarmoor;
using namespace medlarmoor::placement;
using medlarmoor::harness::at;

namespace {

/// An upstream that leaves handshakes unanswered.
const affinity::Tag Unresponsive(1);

} // namespace

TEST_CASE("an upstream that leaves handshakes unanswered is ejected for longer "
          "each time") {
  Ejector Ejections({.FailureThreshold_ = 1,
                     .BaseDuration_ = Millis(1500),
                     .MaxDuration_ = Millis(12'000)});
  CHECK(Ejections.handshakeTimedOut(Unresponsive, at(0)) == Millis(1500));
  CHECK(Ejections.ejected(Unresponsive, at(1499)));
  CHECK_FALSE(Ejections.ejected(Unresponsive, at(1500)));
  CHECK(Ejections.handshakeTimedOut(Unresponsive, at(1600)) == Millis(3000));
  CHECK(Ejections.handshakeTimedOut(Unresponsive, at(5000)) == Millis(6000));
  CHECK(Ejections.handshakeTimedOut(Unresponsive, at(20'000)) ==
        Millis(12'000));
  CHECK(Ejections.handshakeTimedOut(Unresponsive, at(40'000)) ==
        Millis(12'000));
}

TEST_CASE("one unanswered handshake, which may be a lost packet, ejects no "
          "upstream") {
  Ejector Ejections({});
  CHECK(Ejections.handshakeTimedOut(Unresponsive, at(0)) == Millis(0));
  CHECK_FALSE(Ejections.ejected(Unresponsive, at(1)));
  CHECK_FALSE(Ejections.handshakeCompleted(Unresponsive));
  CHECK(Ejections.handshakeTimedOut(Unresponsive, at(10)) == Millis(0));
  CHECK(Ejections.handshakeTimedOut(Unresponsive, at(20)) == Millis(1500));
  CHECK(Ejections.ejected(Unresponsive, at(21)));
  CHECK(Ejections.handshakeCompleted(Unresponsive));
}

TEST_CASE("timeouts of one burst cause a single ejection") {
  Ejector Ejections({});
  CHECK(Ejections.handshakeTimedOut(Unresponsive, at(0)) == Millis(0));
  CHECK(Ejections.handshakeTimedOut(Unresponsive, at(0)) == Millis(1500));
  CHECK(Ejections.handshakeTimedOut(Unresponsive, at(1)) == Millis(0));
  CHECK_FALSE(Ejections.ejected(Unresponsive, at(1500)));
}

TEST_CASE("a completed handshake ends the ejection and resets its duration") {
  Ejector Ejections({.FailureThreshold_ = 1});
  Ejections.handshakeTimedOut(Unresponsive, at(0));
  Ejections.handshakeCompleted(Unresponsive);
  CHECK_FALSE(Ejections.ejected(Unresponsive, at(1)));
  CHECK(Ejections.handshakeTimedOut(Unresponsive, at(10)) == Millis(1500));
}

TEST_CASE("records of replaced upstreams are evicted") {
  Ejector Ejections({});
  for (std::uint32_t Upstream = 1; Upstream <= 1000; ++Upstream) {
    Ejections.handshakeTimedOut(affinity::Tag(Upstream), at(0));
    Ejections.handshakeTimedOut(affinity::Tag(Upstream), at(10));
  }
  CHECK(Ejections.size() == 1000);
  Ejections.expire(at(5000));
  CHECK(Ejections.size() == 1000);
  Ejections.expire(at(70'000));
  CHECK(Ejections.size() == 0);
}

TEST_CASE("a record is kept until its ejection has ended") {
  Ejector Ejections({.FailureThreshold_ = 1,
                     .BaseDuration_ = Seconds(120),
                     .MaxDuration_ = Seconds(120)});
  Ejections.handshakeTimedOut(Unresponsive, at(0));
  Ejections.expire(at(100'000));
  CHECK(Ejections.ejected(Unresponsive, at(100'000)));
}
