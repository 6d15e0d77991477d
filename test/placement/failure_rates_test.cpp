#include <harness/catalog_builder.hpp>

#include <medlarmoor/placement/failure_rates.hpp>

#include <catch2/catch.hpp>

using namespace medlarmoor;
using namespace medlarmoor::placement;
using medlarmoor::harness::at;

namespace {

const Endpoint FirstRoute{Ipv4(1), 443};
const Endpoint SecondRoute{Ipv4(1), 8443};
/// An upstream that accepts flows but fails some or all of their requests.
const affinity::Tag Grey(1);
const affinity::Tag Healthy(2);
constexpr std::uint32_t PageBytes = 2000;
constexpr std::uint32_t ErrorPageBytes = 170;

/// Returns failure rates that know the usual size of the answers of FirstRoute.
FailureRates healthyRates() {
  FailureRates Rates;
  for (int I = 0; I < 100; ++I)
    Rates.recordRequest(FirstRoute, Healthy, PageBytes, at(I));
  return Rates;
}

} // namespace

TEST_CASE("grey upstream: a request without an answer raises its excess") {
  FailureRates Rates = healthyRates();
  CHECK(Rates.recordRequest(FirstRoute, Grey, 0, at(100)) ==
        Outcome::Unanswered);
  CHECK(Rates.excess(Grey, at(101)) > 0.4);
  CHECK(Rates.excess(Healthy, at(101)) == 0);
}

TEST_CASE("grey upstream: an error page raises its excess") {
  FailureRates Rates = healthyRates();
  CHECK(Rates.recordRequest(FirstRoute, Grey, ErrorPageBytes, at(100)) ==
        Outcome::ShortAnswer);
  CHECK(Rates.excess(Grey, at(101)) > 0.4);
  CHECK(Rates.recordRequest(FirstRoute, Healthy, PageBytes, at(102)) ==
        Outcome::Answered);
}

TEST_CASE("grey upstream: two overdue answers raise its excess before their "
          "clients give up") {
  FailureRates Rates = healthyRates();
  Rates.recordOverdue(Grey, at(100));
  // The flow may have moved to another instance.
  CHECK(Rates.excess(Grey, at(101)) == 0);
  Rates.recordOverdue(Grey, at(200));
  CHECK(Rates.excess(Grey, at(201)) > 0);
}

TEST_CASE("grey upstream: instances that each saw one overdue answer detect it "
          "together") {
  FailureRates First = healthyRates();
  FailureRates Second = healthyRates();
  First.recordOverdue(Grey, at(100));
  Second.recordOverdue(Grey, at(150));
  const std::vector<Suspect> Reports = First.takeSuspects();
  REQUIRE(Reports.size() == 1);
  CHECK(Second.recordReport(Reports[0], at(300)));
  CHECK(Second.excess(Grey, at(301)) > 0);
}

TEST_CASE(
    "flows that move to another instance cause no upstream to be avoided") {
  FailureRates Rates = healthyRates();
  for (std::uint32_t Upstream = 10; Upstream < 20; ++Upstream) {
    const TimePoint Now = at(100 + Upstream * 200);
    Rates.recordOverdue(affinity::Tag(Upstream), Now);
    CHECK_FALSE(Rates.recordReport({affinity::Tag(Upstream + 100), 15}, Now));
    CHECK(Rates.excess(affinity::Tag(Upstream), Now) == 0);
    CHECK(Rates.excess(affinity::Tag(Upstream + 100), Now) == 0);
  }
}

TEST_CASE("grey upstream: a recovered upstream is no longer avoided") {
  FailureRates Rates = healthyRates();
  Rates.recordRequest(FirstRoute, Grey, 0, at(100));
  CHECK(Rates.excess(Grey, at(3000)) > 0);
  CHECK(Rates.excess(Grey, at(20'000)) == 0);
  Rates.recordRequest(FirstRoute, Grey, 0, at(20'000));
  for (int I = 0; I < 3; ++I)
    Rates.recordRequest(FirstRoute, Grey, PageBytes, at(20'100 + I));
  CHECK(Rates.excess(Grey, at(20'200)) == 0);
}

TEST_CASE("grey upstream: one that fails each trial is retried at growing "
          "intervals") {
  FailureRates Rates = healthyRates();
  std::int64_t Now = 100;
  std::int64_t Pause = 0;
  for (int Trial = 0; Trial < 3; ++Trial) {
    Rates.recordRequest(FirstRoute, Grey, 0, at(Now));
    const std::int64_t FailedAt = Now;
    while (Rates.excess(Grey, at(Now)) > 0)
      Now += 100;
    CHECK(Now - FailedAt > Pause);
    Pause = Now - FailedAt;
  }
  CHECK(Pause < 90'000);
}

TEST_CASE("grey upstream: a peer's report is enough to prefer others, and one "
          "success refutes it") {
  FailureRates Rates = healthyRates();
  CHECK(Rates.recordReport({Grey, 30}, at(100)));
  CHECK(Rates.excess(Grey, at(101)) > 0);
  CHECK_FALSE(Rates.recordReport({Grey, 30}, at(200)));
  // Reports received from peers are not forwarded.
  CHECK(Rates.takeSuspects().empty());
  Rates.recordRequest(FirstRoute, Grey, PageBytes, at(300));
  CHECK(Rates.excess(Grey, at(301)) == 0);
}

TEST_CASE("grey upstream: it is reported once, when it begins to be avoided") {
  FailureRates Rates = healthyRates();
  Rates.recordRequest(FirstRoute, Grey, 0, at(100));
  Rates.recordRequest(FirstRoute, Grey, 0, at(101));
  CHECK(Rates.takeSuspects() == std::vector{Suspect{Grey, 30}});
  CHECK(Rates.takeSuspects().empty());
}

TEST_CASE("network cut: an instance that sees failures everywhere reports no "
          "upstream") {
  FailureRates Rates = healthyRates();
  for (std::uint32_t Upstream = 10; Upstream < 18; ++Upstream)
    Rates.recordOverdue(affinity::Tag(Upstream), at(100));
  CHECK(Rates.takeSuspects().empty());
}

TEST_CASE(
    "overload: when requests fail everywhere, no upstream is singled out") {
  FailureRates Rates = healthyRates();
  for (int I = 0; I < 400; ++I)
    Rates.recordRequest(FirstRoute,
                        affinity::Tag(10 + static_cast<std::uint32_t>(I % 8)),
                        0, at(100 + I));
  for (std::uint32_t Upstream = 10; Upstream < 18; ++Upstream)
    CHECK(Rates.excess(affinity::Tag(Upstream), at(500)) == 0);
}

TEST_CASE("requests are classified by the usual answers of their own route") {
  FailureRates Rates = healthyRates();
  for (int I = 0; I < 100; ++I)
    CHECK(Rates.recordRequest(SecondRoute, Grey, ErrorPageBytes, at(100 + I)) ==
          Outcome::Answered);
  CHECK(Rates.excess(Grey, at(200)) == 0);
}

TEST_CASE("decayed records of upstreams are evicted") {
  FailureRates Rates = healthyRates();
  for (std::uint32_t Upstream = 10; Upstream < 1010; ++Upstream)
    Rates.recordRequest(FirstRoute, affinity::Tag(Upstream), 0, at(100));
  CHECK(Rates.size() > 0);
  Rates.expire(at(100 + 300'000));
  CHECK(Rates.size() == 0);
}
