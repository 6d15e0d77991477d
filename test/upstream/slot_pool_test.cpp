#include <medlarmoor/upstream/slot_pool.hpp>

#include <catch2/catch.hpp>

#include <memory>

using namespace medlarmoor;
using namespace medlarmoor::upstream;

namespace {

std::vector<config::Upstream> two() {
  std::vector<config::Upstream> Out(2);
  Out[0].Name_ = UpstreamName("a");
  Out[1].Name_ = UpstreamName("b");
  return Out;
}

} // namespace

TEST_CASE("no more slots are given out than there are, whatever is reported") {
  SlotPool Pool({}, Clock(std::make_shared<ManualClock>()), Random(1));
  Pool.configure(two());
  Pool.report(UpstreamName("a"), {0, 0, ServingState::Ready, Millis(0)});
  for (int I = 0; I < 4; ++I)
    CHECK(Pool.acquire());
  CHECK_FALSE(Pool.acquire());
  CHECK(Pool.running(UpstreamName("a")) == 2);
  Pool.release(UpstreamName("b"), AttemptEnd::Whole, Millis(5));
  CHECK(Pool.acquire()->Name_ == UpstreamName("b"));
}

TEST_CASE("a draining upstream gets nothing new") {
  SlotPool Pool({}, Clock(std::make_shared<ManualClock>()), Random(1));
  std::vector<config::Upstream> All = two();
  All[0].Drain_ = true;
  Pool.configure(All);
  CHECK(Pool.slots() == 2);
  CHECK(Pool.acquire()->Name_ == UpstreamName("b"));
  Pool.report(UpstreamName("b"), {1, 0, ServingState::Draining, Millis(0)});
  CHECK_FALSE(Pool.acquire());
}

TEST_CASE("a metric breaker opens on failures and closes when they are old") {
  Health Known;
  const TimePoint Now(Seconds(100));
  for (int I = 0; I < 6; ++I)
    note(Known, true, Now);
  CHECK_FALSE(allows(MetricBreaker{}, Known, 0, Now));
  CHECK(allows(NoBreaker{}, Known, 0, Now));
  CHECK(allows(MetricBreaker{}, Known, 1, Now + Millis(1001)));
  CHECK(allows(HalfOpenBreaker{}, Known, 0, Now + Millis(1001)));
  CHECK_FALSE(allows(HalfOpenBreaker{}, Known, 1, Now + Millis(1001)));
}
