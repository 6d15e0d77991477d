#include <harness/catalog_builder.hpp>

#include <medlarmoor/placement/service_times.hpp>

#include <catch2/catch.hpp>

#include <random>

using namespace medlarmoor;
using namespace medlarmoor::placement;
using medlarmoor::harness::at;

namespace {

const Endpoint Menu{Ipv4(1), 443};
const Endpoint Sheets{Ipv4(1), 8443};
const affinity::Tag Slow(1);
const affinity::Tag Good(2);

} // namespace

TEST_CASE("slow upstream: a fifth of the speed shows after a few flows") {
  ServiceTimes Each;
  for (int I = 0; I < 40; ++I)
    Each.recordFlow(Menu, Good, Millis(30), at(I));
  CHECK(Each.slowness(Slow, at(40)) == 1.0);
  for (int I = 0; I < 4; ++I)
    Each.recordFlow(Menu, Slow, Millis(150), at(40 + I));
  CHECK(Each.slowness(Slow, at(45)) > 2.0);
  CHECK(Each.slowness(Good, at(45)) == 1.0);
}

TEST_CASE("slow upstream: what recovered is tried again") {
  ServiceTimes Each;
  for (int I = 0; I < 40; ++I)
    Each.recordFlow(Menu, Good, Millis(30), at(I));
  for (int I = 0; I < 10; ++I)
    Each.recordFlow(Menu, Slow, Millis(150), at(50));
  CHECK(Each.slowness(Slow, at(60)) > 3.0);
  CHECK(Each.slowness(Slow, at(15'000)) == 1.0);
}

TEST_CASE("routes with long flows do not make their upstreams look slow") {
  ServiceTimes Each;
  for (int I = 0; I < 100; ++I) {
    Each.recordFlow(Menu, Good, Millis(30), at(I));
    Each.recordFlow(Sheets, Slow, Millis(400), at(I));
  }
  CHECK(Each.slowness(Slow, at(100)) == 1.0);
}

TEST_CASE("work that varies by half of its mean condemns nobody for long") {
  ServiceTimes Each;
  std::mt19937_64 Source(7);
  std::lognormal_distribution<double> Work(3.4, 0.5);
  int Suspected = 0;
  constexpr int Flows = 5000;
  for (int I = 0; I < Flows; ++I) {
    const affinity::Tag Upstream(1 + static_cast<std::uint32_t>(I % 14));
    Each.recordFlow(Menu, Upstream,
                    Micros(static_cast<int>(Work(Source) * 1000)), at(I * 3));
    Suspected += Each.slowness(Upstream, at(I * 3)) > 1.0 ? 1 : 0;
  }
  CHECK(Suspected < Flows / 100);
}

TEST_CASE("records of upstreams that left are forgotten, those in use stay") {
  ServiceTimes Each;
  for (std::uint32_t Upstream = 10; Upstream < 1010; ++Upstream)
    Each.recordFlow(Menu, affinity::Tag(Upstream), Millis(30), at(0));
  Each.recordFlow(Menu, Good, Millis(30), at(100'000));
  Each.expire(at(100'001));
  CHECK(Each.size() == 1);
}
