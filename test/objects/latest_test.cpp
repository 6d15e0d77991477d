#include <medlarmoor/objects/latest.hpp>

#include <catch2/catch.hpp>

using namespace medlarmoor::objects;

namespace {

using Items = std::vector<StoredItem<int>>;

} // namespace

TEST_CASE("an object that was deleted and created again has its new value") {
  const Items Latest = latest(
      Items{{"a", 1, {}}, {"b", 1, {}}, {"a", std::nullopt, {}}, {"a", 2, {}}});
  REQUIRE(Latest.size() == 2);
  CHECK(Latest[0].Name_ == "b");
  CHECK(Latest[1].Name_ == "a");
  CHECK(Latest[1].Value_ == 2);
}

TEST_CASE("an object that was created and deleted again is absent") {
  const Items Latest = latest(Items{{"a", 1, {}}, {"a", std::nullopt, {}}});
  REQUIRE(Latest.size() == 1);
  CHECK_FALSE(Latest[0].Value_);
}
