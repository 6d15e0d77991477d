#include <medlarmoor/upstream/slot_pool.hpp>

#include <catch2/catch.hpp>

#include <memory>

using namespace medlarmoor;
using namespace medlarmoor::upstream;

namespace {

std::vector<config::Upstream> twoUpstreams() {
  std::vector<config::Upstream> Upstreams(2);
  Upstreams[0].Name_ = UpstreamName("a");
  Upstreams[1].Name_ = UpstreamName("b");
  return Upstreams;
}

} // namespace

TEST_CASE("no more slots are allocated than exist, regardless of reports") {
  SlotPool Pool({}, Clock(std::make_shared<ManualClock>()), Random(1));
  Pool.configure(twoUpstreams());
  Pool.recordReport(UpstreamName("a"), {0, 0, ServingState::Ready, Millis(0)});
  for (int I = 0; I < 4; ++I)
    CHECK(Pool.acquire());
  CHECK_FALSE(Pool.acquire());
  CHECK(Pool.running(UpstreamName("a")) == 2);
  Pool.release(UpstreamName("b"), AttemptResult::Complete, Millis(5));
  CHECK(Pool.acquire()->Name_ == UpstreamName("b"));
}

TEST_CASE("a draining upstream receives no new requests") {
  SlotPool Pool({}, Clock(std::make_shared<ManualClock>()), Random(1));
  std::vector<config::Upstream> Upstreams = twoUpstreams();
  Upstreams[0].Drain_ = true;
  Pool.configure(Upstreams);
  CHECK(Pool.slots() == 2);
  CHECK(Pool.acquire()->Name_ == UpstreamName("b"));
  Pool.recordReport(UpstreamName("b"),
                    {1, 0, ServingState::Draining, Millis(0)});
  CHECK_FALSE(Pool.acquire());
}

TEST_CASE("a metric breaker opens on failures and closes when they expire") {
  Health Observed;
  const TimePoint Now(Seconds(100));
  for (int I = 0; I < 6; ++I)
    recordSample(Observed, true, Now);
  CHECK_FALSE(allows(MetricBreaker{}, Observed, 0, Now));
  CHECK(allows(NoBreaker{}, Observed, 0, Now));
  CHECK(allows(MetricBreaker{}, Observed, 1, Now + Millis(1001)));
  CHECK(allows(HalfOpenBreaker{}, Observed, 0, Now + Millis(1001)));
  CHECK_FALSE(allows(HalfOpenBreaker{}, Observed, 1, Now + Millis(1001)));
}
