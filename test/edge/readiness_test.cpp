#include <harness/catalog_builder.hpp>

#include <medlarmoor/edge/readiness.hpp>

#include <catch2/catch.hpp>

using namespace medlarmoor;
using namespace medlarmoor::edge;
using medlarmoor::harness::at;

TEST_CASE("an instance is ready once it knows routes and upstreams") {
  const Readiness Each(Seconds(6));
  CHECK_FALSE(Each.ready(false, true));
  CHECK_FALSE(Each.ready(true, false));
  CHECK(Each.ready(true, true));
}

TEST_CASE("planned stop: packets are carried until routers have turned away") {
  Readiness Each(Seconds(6));
  CHECK_FALSE(Each.mayExit(at(0)));
  Each.stop(at(0));
  CHECK_FALSE(Each.ready(true, true));
  for (int Ms = 0; Ms <= 1800; Ms += 100) {
    Each.packet(at(Ms));
    CHECK_FALSE(Each.mayExit(at(Ms)));
  }
  CHECK_FALSE(Each.mayExit(at(2700)));
  CHECK(Each.mayExit(at(2800)));
}

TEST_CASE("planned stop: without traffic routers still need time to notice") {
  Readiness Each(Seconds(6));
  Each.stop(at(0));
  CHECK_FALSE(Each.mayExit(at(1400)));
  CHECK(Each.mayExit(at(1500)));
}

TEST_CASE("planned stop: an instance exits before it is killed") {
  Readiness Each(Seconds(6));
  Each.stop(at(0));
  Each.stop(at(4000));
  Each.packet(at(4990));
  CHECK_FALSE(Each.mayExit(at(4990)));
  Each.packet(at(5000));
  CHECK(Each.mayExit(at(5000)));
}
