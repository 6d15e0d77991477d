#include <harness/catalog_builder.hpp>

#include <medlarmoor/placement/ejector.hpp>

#include <catch2/catch.hpp>

using namespace medlarmoor;
using namespace medlarmoor::placement;
using medlarmoor::harness::at;

namespace {

const affinity::Tag Dark(1);

} // namespace

TEST_CASE("an upstream that leaves handshakes unanswered is ejected for longer "
          "each time") {
  Ejector Each({.FailureThreshold_ = 1,
                .BaseDuration_ = Millis(1500),
                .MaxDuration_ = Millis(12'000)});
  CHECK(Each.handshakeTimedOut(Dark, at(0)) == Millis(1500));
  CHECK(Each.ejected(Dark, at(1499)));
  CHECK_FALSE(Each.ejected(Dark, at(1500)));
  CHECK(Each.handshakeTimedOut(Dark, at(1600)) == Millis(3000));
  CHECK(Each.handshakeTimedOut(Dark, at(5000)) == Millis(6000));
  CHECK(Each.handshakeTimedOut(Dark, at(20'000)) == Millis(12'000));
  CHECK(Each.handshakeTimedOut(Dark, at(40'000)) == Millis(12'000));
}

TEST_CASE("one unanswered handshake may be a lost packet") {
  Ejector Each({});
  CHECK(Each.handshakeTimedOut(Dark, at(0)) == Millis(0));
  CHECK_FALSE(Each.ejected(Dark, at(1)));
  CHECK_FALSE(Each.handshakeCompleted(Dark));
  CHECK(Each.handshakeTimedOut(Dark, at(10)) == Millis(0));
  CHECK(Each.handshakeTimedOut(Dark, at(20)) == Millis(1500));
  CHECK(Each.ejected(Dark, at(21)));
  CHECK(Each.handshakeCompleted(Dark));
}

TEST_CASE("timeouts of one burst count once") {
  Ejector Each({});
  CHECK(Each.handshakeTimedOut(Dark, at(0)) == Millis(0));
  CHECK(Each.handshakeTimedOut(Dark, at(0)) == Millis(1500));
  CHECK(Each.handshakeTimedOut(Dark, at(1)) == Millis(0));
  CHECK_FALSE(Each.ejected(Dark, at(1500)));
}

TEST_CASE("an upstream that answers again is forgiven") {
  Ejector Each({.FailureThreshold_ = 1});
  Each.handshakeTimedOut(Dark, at(0));
  Each.handshakeCompleted(Dark);
  CHECK_FALSE(Each.ejected(Dark, at(1)));
  CHECK(Each.handshakeTimedOut(Dark, at(10)) == Millis(1500));
}

TEST_CASE("records of upstreams that were replaced do not pile up") {
  Ejector Each({});
  for (std::uint32_t Upstream = 1; Upstream <= 1000; ++Upstream) {
    Each.handshakeTimedOut(affinity::Tag(Upstream), at(0));
    Each.handshakeTimedOut(affinity::Tag(Upstream), at(10));
  }
  CHECK(Each.size() == 1000);
  Each.expire(at(5000));
  CHECK(Each.size() == 1000);
  Each.expire(at(70'000));
  CHECK(Each.size() == 0);
}

TEST_CASE("an ejection is not cut short by forgetting") {
  Ejector Each({.FailureThreshold_ = 1,
                .BaseDuration_ = Seconds(120),
                .MaxDuration_ = Seconds(120)});
  Each.handshakeTimedOut(Dark, at(0));
  Each.expire(at(100'000));
  CHECK(Each.ejected(Dark, at(100'000)));
}
