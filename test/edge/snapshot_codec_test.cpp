#include <harness/catalog_builder.hpp>

#include <medlarmoor/edge/snapshot_codec.hpp>

#include <catch2/catch.hpp>

using namespace medlarmoor;
using namespace medlarmoor::edge;
using medlarmoor::harness::upstream;

TEST_CASE("changes of upstreams read back as they were written") {
  discovery::Upstream Each = upstream("i-1");
  Each.Draining_ = true;
  Each.WarmUp_ = Millis(735);
  Each.StartedAt_ = WallTime(Millis(1'781'000'000'000));
  Each.CreatedAt_ = 17;
  const Snapshot<discovery::UpstreamChanges> Written{
      {20, 18, Millis(40)}, {false, {Each}, {UpstreamName("i-2")}}};
  const auto Read = readUpstreamChanges(encode(Written));
  REQUIRE(Read);
  CHECK(Read->State_ == Written.State_);
  CHECK_FALSE(Read->Changes_.Whole_);
  CHECK(Read->Changes_.Listed_ == Written.Changes_.Listed_);
  CHECK(Read->Changes_.Removed_ == Written.Changes_.Removed_);
}

TEST_CASE("changes of routes read back as they were written") {
  routing::Route Route;
  Route.Name_ = "r-1";
  Route.Address_ = {Ipv4(0xc6120001), 443};
  Route.Services_ = {{ServiceName("a"), 90}, {ServiceName("b"), 10}};
  Route.Kind_ = routing::RequestKind::Download;
  Route.Timeout_ = Millis(1200);
  Route.LatencyObjective_ = Millis(200);
  Route.Priority_ = 2;
  const Snapshot<routing::RouteChanges> Written{{20, 18, Millis(40)},
                                                {true,
                                                 ConfigVersion(7),
                                                 Millis(15'000),
                                                 {Route},
                                                 {{Ipv4(0xc6120001), 8443}}}};
  const auto Read = readRouteChanges(encode(Written));
  REQUIRE(Read);
  CHECK(Read->Changes_.Whole_);
  CHECK(Read->Changes_.Version_ == ConfigVersion(7));
  CHECK(Read->Changes_.IdleTimeout_ == Millis(15'000));
  CHECK(Read->Changes_.Routes_ == Written.Changes_.Routes_);
  CHECK(Read->Changes_.Removed_ == Written.Changes_.Removed_);
}

TEST_CASE("a text that is no snapshot is refused") {
  for (const char *Text : {"", "{", "[]", "{}", R"({"upto":1})",
                           R"({"upto":1,"changed":1,"age_ms":1,"whole":true,)"
                           R"("listed":[[1]],"removed":[]})"})
    CHECK_FALSE(readUpstreamChanges(Text));
  CHECK_FALSE(readRouteChanges(R"({"upto":1,"changed":1,"age_ms":1})"));
}
