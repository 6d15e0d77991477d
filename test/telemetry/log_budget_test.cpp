#include <harness/catalog_builder.hpp>

#include <medlarmoor/telemetry/log_budget.hpp>

#include <catch2/catch.hpp>

using namespace medlarmoor;
using medlarmoor::harness::at;

TEST_CASE("lines beyond the budget of a second are counted, not written") {
  telemetry::LogBudget Each(3);
  int Written = 0;
  for (int I = 0; I < 10; ++I)
    Written += Each.take(at(I)) ? 1 : 0;
  CHECK(Written == 3);
  CHECK_FALSE(Each.leftOut(at(900)));
  CHECK(Each.leftOut(at(1000)) == 7);
  CHECK_FALSE(Each.leftOut(at(1001)));
  CHECK(Each.take(at(1002)));
}
