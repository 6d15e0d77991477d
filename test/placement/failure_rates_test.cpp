#include <harness/catalog_builder.hpp>

#include <medlarmoor/placement/failure_rates.hpp>

#include <catch2/catch.hpp>

using namespace medlarmoor;
using namespace medlarmoor::placement;
using medlarmoor::harness::at;

namespace {

const Endpoint Menu{Ipv4(1), 443};
const Endpoint Sheets{Ipv4(1), 8443};
const affinity::Tag Grey(1);
const affinity::Tag Good(2);
constexpr std::uint32_t Page = 2000;
constexpr std::uint32_t ErrorPage = 170;

/// Rates of a route whose usual answers are known.
FailureRates healthy() {
  FailureRates Out;
  for (int I = 0; I < 100; ++I)
    Out.recordRequest(Menu, Good, Page, at(I));
  return Out;
}

} // namespace

TEST_CASE("grey upstream: a request without an answer is held against it") {
  FailureRates Each = healthy();
  CHECK(Each.recordRequest(Menu, Grey, 0, at(100)) == Outcome::Unanswered);
  CHECK(Each.excess(Grey, at(101)) > 0.4);
  CHECK(Each.excess(Good, at(101)) == 0);
}

TEST_CASE("grey upstream: an error page is held against it") {
  FailureRates Each = healthy();
  CHECK(Each.recordRequest(Menu, Grey, ErrorPage, at(100)) ==
        Outcome::ShortAnswer);
  CHECK(Each.excess(Grey, at(101)) > 0.4);
  CHECK(Each.recordRequest(Menu, Good, Page, at(102)) == Outcome::Answered);
}

TEST_CASE("grey upstream: two requests that hang are held against it before "
          "their clients give up") {
  FailureRates Each = healthy();
  Each.recordOverdue(Grey, at(100));
  // The flow may have moved to another instance.
  CHECK(Each.excess(Grey, at(101)) == 0);
  Each.recordOverdue(Grey, at(200));
  CHECK(Each.excess(Grey, at(201)) > 0);
}

TEST_CASE("grey upstream: instances that each saw one request hang find out "
          "together") {
  FailureRates First = healthy();
  FailureRates Second = healthy();
  First.recordOverdue(Grey, at(100));
  Second.recordOverdue(Grey, at(150));
  const std::vector<Suspect> Told = First.takeSuspects();
  REQUIRE(Told.size() == 1);
  CHECK(Second.recordReport(Told[0], at(300)));
  CHECK(Second.excess(Grey, at(301)) > 0);
}

TEST_CASE("flows that move to another instance condemn no upstream") {
  FailureRates Each = healthy();
  for (std::uint32_t Upstream = 10; Upstream < 20; ++Upstream) {
    const TimePoint Now = at(100 + Upstream * 200);
    Each.recordOverdue(affinity::Tag(Upstream), Now);
    CHECK_FALSE(Each.recordReport({affinity::Tag(Upstream + 100), 15}, Now));
    CHECK(Each.excess(affinity::Tag(Upstream), Now) == 0);
    CHECK(Each.excess(affinity::Tag(Upstream + 100), Now) == 0);
  }
}

TEST_CASE("grey upstream: what recovered is trusted again") {
  FailureRates Each = healthy();
  Each.recordRequest(Menu, Grey, 0, at(100));
  CHECK(Each.excess(Grey, at(3000)) > 0);
  CHECK(Each.excess(Grey, at(20'000)) == 0);
  Each.recordRequest(Menu, Grey, 0, at(20'000));
  for (int I = 0; I < 3; ++I)
    Each.recordRequest(Menu, Grey, Page, at(20'100 + I));
  CHECK(Each.excess(Grey, at(20'200)) == 0);
}

TEST_CASE(
    "grey upstream: one that fails each trial is tried ever more rarely") {
  FailureRates Each = healthy();
  std::int64_t Now = 100;
  std::int64_t Pause = 0;
  for (int Trial = 0; Trial < 3; ++Trial) {
    Each.recordRequest(Menu, Grey, 0, at(Now));
    const std::int64_t Failed = Now;
    while (Each.excess(Grey, at(Now)) > 0)
      Now += 100;
    CHECK(Now - Failed > Pause);
    Pause = Now - Failed;
  }
  CHECK(Pause < 90'000);
}

TEST_CASE("grey upstream: a peer's word is enough to try others first, and one "
          "success refutes it") {
  FailureRates Each = healthy();
  CHECK(Each.recordReport({Grey, 30}, at(100)));
  CHECK(Each.excess(Grey, at(101)) > 0);
  CHECK_FALSE(Each.recordReport({Grey, 30}, at(200)));
  // Hearsay is not passed on.
  CHECK(Each.takeSuspects().empty());
  Each.recordRequest(Menu, Grey, Page, at(300));
  CHECK(Each.excess(Grey, at(301)) == 0);
}

TEST_CASE("grey upstream: it is told of once, when it begins to be avoided") {
  FailureRates Each = healthy();
  Each.recordRequest(Menu, Grey, 0, at(100));
  Each.recordRequest(Menu, Grey, 0, at(101));
  CHECK(Each.takeSuspects() == std::vector{Suspect{Grey, 30}});
  CHECK(Each.takeSuspects().empty());
}

TEST_CASE("cut: an instance that sees failures everywhere accuses nobody") {
  FailureRates Each = healthy();
  for (std::uint32_t Upstream = 10; Upstream < 18; ++Upstream)
    Each.recordOverdue(affinity::Tag(Upstream), at(100));
  CHECK(Each.takeSuspects().empty());
}

TEST_CASE("overload: when requests fail everywhere nobody is singled out") {
  FailureRates Each = healthy();
  for (int I = 0; I < 400; ++I)
    Each.recordRequest(Menu,
                       affinity::Tag(10 + static_cast<std::uint32_t>(I % 8)), 0,
                       at(100 + I));
  for (std::uint32_t Upstream = 10; Upstream < 18; ++Upstream)
    CHECK(Each.excess(affinity::Tag(Upstream), at(500)) == 0);
}

TEST_CASE("routes are judged by their own answers") {
  FailureRates Each = healthy();
  for (int I = 0; I < 100; ++I)
    CHECK(Each.recordRequest(Sheets, Grey, ErrorPage, at(100 + I)) ==
          Outcome::Answered);
  CHECK(Each.excess(Grey, at(200)) == 0);
}

TEST_CASE("records of upstreams do not pile up") {
  FailureRates Each = healthy();
  for (std::uint32_t Upstream = 10; Upstream < 1010; ++Upstream)
    Each.recordRequest(Menu, affinity::Tag(Upstream), 0, at(100));
  CHECK(Each.size() > 0);
  Each.expire(at(100 + 300'000));
  CHECK(Each.size() == 0);
}
