#include <harness/catalog_builder.hpp>

#include <medlarmoor/edge/pause_detector.hpp>

#include <catch2/catch.hpp>

using namespace medlarmoor;
using namespace medlarmoor::edge;
using medlarmoor::harness::at;

TEST_CASE("paused process: the time after a pause is recognized") {
  PauseDetector Pauses;
  CHECK_FALSE(Pauses.resuming(at(0)));
  for (int Ms = 0; Ms <= 2000; Ms += 200)
    Pauses.recordActivity(at(Ms));
  CHECK_FALSE(Pauses.resuming(at(2000)));
  Pauses.recordActivity(at(7000));
  CHECK(Pauses.resuming(at(7000)));
  // Further events of the same moment do not end it.
  Pauses.recordActivity(at(7001));
  CHECK(Pauses.resuming(at(7100)));
  CHECK_FALSE(Pauses.resuming(at(7200)));
}

TEST_CASE("a slow processor is not taken for a pause") {
  PauseDetector Pauses;
  for (int Ms = 0; Ms <= 9000; Ms += 900) {
    Pauses.recordActivity(at(Ms));
    CHECK_FALSE(Pauses.resuming(at(Ms)));
  }
}
