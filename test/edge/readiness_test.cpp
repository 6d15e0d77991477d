#include <harness/catalog_builder.hpp>

#include <medlarmoor/edge/readiness.hpp>

#include <catch2/catch.hpp>

using namespace medlarmoor;
using namespace medlarmoor::edge;
using medlarmoor::harness::at;

TEST_CASE("an instance is ready once it knows routes and upstreams") {
  const Readiness Instance(Seconds(6));
  CHECK_FALSE(Instance.ready(false, true));
  CHECK_FALSE(Instance.ready(true, false));
  CHECK(Instance.ready(true, true));
}

TEST_CASE(
    "planned stop: packets are forwarded until routers have stopped sending") {
  Readiness Instance(Seconds(6));
  CHECK_FALSE(Instance.mayExit(at(0)));
  Instance.stop(at(0));
  CHECK_FALSE(Instance.ready(true, true));
  for (int Ms = 0; Ms <= 1800; Ms += 100) {
    Instance.recordPacket(at(Ms));
    CHECK_FALSE(Instance.mayExit(at(Ms)));
  }
  CHECK_FALSE(Instance.mayExit(at(2700)));
  CHECK(Instance.mayExit(at(2800)));
}

TEST_CASE(
    "planned stop: without traffic an instance still waits until routers have "
    "noticed") {
  Readiness Instance(Seconds(6));
  Instance.stop(at(0));
  CHECK_FALSE(Instance.mayExit(at(1400)));
  CHECK(Instance.mayExit(at(1500)));
}

TEST_CASE("planned stop: an instance exits before it is killed") {
  Readiness Instance(Seconds(6));
  Instance.stop(at(0));
  Instance.stop(at(4000));
  Instance.recordPacket(at(4990));
  CHECK_FALSE(Instance.mayExit(at(4990)));
  Instance.recordPacket(at(5000));
  CHECK(Instance.mayExit(at(5000)));
}
