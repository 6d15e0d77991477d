#include <harness/catalog_builder.hpp>

#include <medlarmoor/placement/service_times.hpp>

#include <catch2/catch.hpp>

#include <random>

using namespace medlarmoor;
using namespace medlarmoor::placement;
using medlarmoor::harness::at;

namespace {

const Endpoint FirstRoute{Ipv4(1), 443};
const Endpoint SecondRoute{Ipv4(1), 8443};
const affinity::Tag Slow(1);
const affinity::Tag Healthy(2);

} // namespace

TEST_CASE("slow upstream: a fifth of the speed is detected after a few flows") {
  ServiceTimes Times;
  for (int I = 0; I < 40; ++I)
    Times.recordRequest(FirstRoute, Healthy, Millis(30), at(I));
  CHECK(Times.slowness(Slow, at(40)) == 1.0);
  for (int I = 0; I < 4; ++I)
    Times.recordRequest(FirstRoute, Slow, Millis(150), at(40 + I));
  CHECK(Times.slowness(Slow, at(45)) > 2.0);
  CHECK(Times.slowness(Healthy, at(45)) == 1.0);
}

TEST_CASE("slow upstream: a recovered one is tried again") {
  ServiceTimes Times;
  for (int I = 0; I < 40; ++I)
    Times.recordRequest(FirstRoute, Healthy, Millis(30), at(I));
  for (int I = 0; I < 10; ++I)
    Times.recordRequest(FirstRoute, Slow, Millis(150), at(50));
  CHECK(Times.slowness(Slow, at(60)) > 3.0);
  CHECK(Times.slowness(Slow, at(15'000)) == 1.0);
}

TEST_CASE("routes with long flows do not make their upstreams look slow") {
  ServiceTimes Times;
  for (int I = 0; I < 100; ++I) {
    Times.recordRequest(FirstRoute, Healthy, Millis(30), at(I));
    Times.recordRequest(SecondRoute, Slow, Millis(400), at(I));
  }
  CHECK(Times.slowness(Slow, at(100)) == 1.0);
}

TEST_CASE(
    "durations that vary by half of their mean rarely make an upstream look "
    "slow") {
  ServiceTimes Times;
  std::mt19937_64 Source(7);
  std::lognormal_distribution<double> DurationMs(3.4, 0.5);
  int LookedSlow = 0;
  constexpr int Flows = 5000;
  for (int I = 0; I < Flows; ++I) {
    const affinity::Tag Upstream(1 + static_cast<std::uint32_t>(I % 14));
    Times.recordRequest(FirstRoute, Upstream,
                        Micros(static_cast<int>(DurationMs(Source) * 1000)),
                        at(I * 3));
    LookedSlow += Times.slowness(Upstream, at(I * 3)) > 1.0 ? 1 : 0;
  }
  CHECK(LookedSlow < Flows / 100);
}

TEST_CASE("records of upstreams that left are evicted, those in use are kept") {
  ServiceTimes Times;
  for (std::uint32_t Upstream = 10; Upstream < 1010; ++Upstream)
    Times.recordRequest(FirstRoute, affinity::Tag(Upstream), Millis(30), at(0));
  Times.recordRequest(FirstRoute, Healthy, Millis(30), at(100'000));
  Times.expire(at(100'001));
  CHECK(Times.size() == 1);
}
