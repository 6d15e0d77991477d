#include <harness/metrics_page.hpp>

#include <catch2/catch.hpp>

using namespace medlarmoor::harness;

TEST_CASE("the page lists every metric of the sources and no other") {
  const Names Emitted = matches(sourceText(), "\"(medlarmoor_[a-z_]+)");
  CHECK(Emitted.size() > 40);
  CHECK(listedNames("Metrics") == Emitted);
}

TEST_CASE("the page lists every event of the sources and no other") {
  CHECK(listedNames("Events") ==
        matches(sourceText(),
                "[.>](?:error|warn|info|debug)\\(\\s*\"([a-z_]+)\""));
}

TEST_CASE("the page lists every span of the sources and no other") {
  CHECK(listedNames("Spans") ==
        matches(sourceText(), "\"((?:request|flow)\\.[a-z_]+)\""));
}
