#include <medlarmoor/config/read_environment.hpp>
#include <medlarmoor/ctl/internal_changes.hpp>
#include <medlarmoor/ctl/internal_cost.hpp>

#include <catch2/catch.hpp>

using namespace medlarmoor;
using namespace medlarmoor::ctl::internal;

namespace {

config::Environment muscat() {
  Findings Found;
  return config::readEnvironmentFile(
             MEDLARMOOR_SOURCE_DIR "/examples/muscat.toml", Found)
      .value();
}

} // namespace

TEST_CASE("changes name what is new, gone and different") {
  const config::Environment Before = muscat();
  config::Environment After = Before;
  After.Services_[0].Policy_.Epsilon_ = 0.5;
  After.Services_[1].Upstreams_[0].Weight_ = 2;
  After.Services_[1].Upstreams_.pop_back();
  After.Domains_.push_back({DomainName("nizwa"), RegionName("inland")});
  const auto Found = changes(Before, After);
  REQUIRE(Found.size() == 4);
  CHECK(Found[0].Field_ == "epsilon");
  CHECK(Found[1].Name_ == "dispatch-01");
  CHECK(Found[1].Before_ == "1");
  CHECK(Found[1].After_ == "2");
  CHECK(Found[2].Name_ == "dispatch-04");
  CHECK(Found[2].After_.empty());
  CHECK(Found[3].Name_ == "nizwa");
  CHECK(Found[3].Before_.empty());
  CHECK(changes(Before, Before).empty());
}

TEST_CASE("the cost of a drain is its share of new flows and its connections") {
  const config::Environment Before = muscat();
  config::Environment After = Before;
  After.Services_[1].Upstreams_[0].Drain_ = true;
  const auto Found = costs(Before, After);
  // All four domains send to the upstreams of the first one.
  REQUIRE(Found.size() == 4);
  for (const Cost &Each : Found) {
    CHECK(Each.Service_ == ServiceName("dispatch-sheets"));
    // A quarter has to move; a consistent table moves little more.
    CHECK(4 * Each.Moved_ >= Each.Slots_ * 95 / 100);
    CHECK(2 * Each.Moved_ < Each.Slots_);
    CHECK(Each.FlowsAtStake_ ==
          (Each.Domain_ == DomainName("seeb") ? 2000U : 0U));
  }
  CHECK(costs(Before, Before).empty());
}
