#include <medlarmoor/objects/latest.hpp>

#include <catch2/catch.hpp>

using namespace medlarmoor::objects;

namespace {

using Items = std::vector<StoredItem<int>>;

} // namespace

TEST_CASE("an object that was deleted and created again is there") {
  const Items Out = latest(
      Items{{"a", 1, {}}, {"b", 1, {}}, {"a", std::nullopt, {}}, {"a", 2, {}}});
  REQUIRE(Out.size() == 2);
  CHECK(Out[0].Name_ == "b");
  CHECK(Out[1].Name_ == "a");
  CHECK(Out[1].Value_ == 2);
}

TEST_CASE("an object that was created and deleted again is gone") {
  const Items Out = latest(Items{{"a", 1, {}}, {"a", std::nullopt, {}}});
  REQUIRE(Out.size() == 1);
  CHECK_FALSE(Out[0].Value_);
}
