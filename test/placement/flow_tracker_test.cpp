#include <harness/catalog_builder.hpp>

#include <medlarmoor/placement/flow_tracker.hpp>

#include <catch2/catch.hpp>

using namespace medlarmoor;
using namespace medlarmoor::placement;
using medlarmoor::harness::at;

namespace {

const affinity::Tag A(1);
const affinity::Tag B(2);

affinity::FlowKey key(std::uint16_t Port) {
  return {{Ipv4(0x64400007), Port}, {Ipv4(0xc6120001), 443}};
}

} // namespace

TEST_CASE("a flow counts at its upstream until it ends") {
  FlowTracker Each;
  Each.add(key(1), A, Millis(1000), at(0));
  Each.add(key(2), A, Millis(1000), at(0));
  CHECK(Each.active(A) == 2);
  Each.erase(key(1));
  Each.erase(key(1));
  CHECK(Each.active(A) == 1);
  CHECK(Each.size() == 1);
}

TEST_CASE("a moved flow counts at its new upstream only") {
  FlowTracker Each;
  Each.move(Each.add(key(1), A, Millis(1000), at(0)), B, at(200));
  CHECK(Each.active(A) == 0);
  CHECK(Each.active(B) == 1);
  CHECK(Each.find(key(1))->PlacedAt_ == at(200));
}

TEST_CASE("a port that is used again counts once") {
  FlowTracker Each;
  Each.add(key(1), A, Millis(1000), at(0));
  Each.add(key(1), B, Millis(1000), at(50));
  CHECK(Each.active(A) == 0);
  CHECK(Each.active(B) == 1);
}

TEST_CASE(
    "a client that falls silent stops counting, one that sends does not") {
  FlowTracker Each;
  Each.add(key(1), A, Millis(1000), at(0));
  Each.add(key(2), A, Millis(1000), at(0));
  for (int Ms = 100; Ms <= 2000; Ms += 100) {
    Each.touch(*Each.find(key(2)), at(Ms));
    Each.expire(at(Ms));
  }
  CHECK(Each.find(key(1)) == nullptr);
  CHECK(Each.find(key(2)) != nullptr);
  CHECK(Each.active(A) == 1);
  Each.expire(at(3600));
  CHECK(Each.size() == 0);
  CHECK(Each.active(A) == 0);
}
