#include <medlarmoor/config/read_edge_settings.hpp>

#include <catch2/catch.hpp>

using namespace medlarmoor;
using namespace medlarmoor::config;

namespace {

const std::string Example = MEDLARMOOR_SOURCE_DIR "/examples/edge.toml";

} // namespace

TEST_CASE("the example settings of an edge instance read as stated") {
  Findings Found;
  const auto Read = readEdgeSettingsFile(Example, Found);
  INFO(Found.text());
  REQUIRE(Read);
  CHECK(Read->Name_ == EntryName("edge-seeb-1"));
  CHECK(Read->Packets_.text() == "127.0.0.1:8172");
  CHECK(Read->Grace_ == Millis(6000));
  CHECK(Read->FlowAge_ == Millis(60'000));
  CHECK(Read->ApplyLimit_ == Millis(3000));
  CHECK(Read->DrainLimit_ == Millis(3000));
  CHECK(Read->gossipSeeds().at(0).text() == "127.0.0.2:7720");
}

TEST_CASE("all findings about edge settings are given at once, with places") {
  Findings Found;
  const std::string Text = "name = \"Not A Name\"\n"
                           "domain = \"seeb\"\n"
                           "address = \"10.0.0.1\"\n"
                           "stor = \"10.0.0.2:1\"\n"
                           "log_level = \"LOUD\"\n"
                           "[listen]\n"
                           "packets = \"10.0.0.1:1\"\n"
                           "readiness = \"10.0.0.1:2\"\n"
                           "readiness_path = \"ready\"\n"
                           "peers = \"10.0.0.1\"\n"
                           "gossip = \"10.0.0.1:4\"\n"
                           "metrics = \"10.0.0.1:2\"\n"
                           "[bounds]\n"
                           "grace_s = -1\n";
  CHECK_FALSE(readEdgeSettings(Text, "edge.toml", Found));
  const std::string All = Found.text();
  INFO(All);
  CHECK(Found.items().size() == 8);
  for (const char *Place :
       {"edge.toml:1:", "edge.toml:4:", "edge.toml:5:", "edge.toml:9:",
        "edge.toml:10:", "edge.toml:12:", "edge.toml:14:"})
    CHECK(All.find(Place) != std::string::npos);
  CHECK(All.find("'store'") != std::string::npos);
}

TEST_CASE("the stricter of two limits decides how recent knowledge must be") {
  EdgeSettings Each;
  Each.ApplyLimit_ = Millis(5000);
  Each.DrainLimit_ = Millis(2000);
  CHECK(Each.freshness() == Millis(2000));
  Each.DrainLimit_ = Millis(9000);
  CHECK(Each.freshness() == Millis(5000));
}

TEST_CASE("an edge instance may start without seeds") {
  Findings Found;
  const std::string Text = "name = \"edge-1\"\n"
                           "domain = \"seeb\"\n"
                           "address = \"10.0.0.1\"\n"
                           "store = \"10.0.0.2:1\"\n"
                           "seeds = []\n"
                           "[listen]\n"
                           "packets = \"10.0.0.1:1\"\n"
                           "readiness = \"10.0.0.1:2\"\n"
                           "peers = \"10.0.0.1:3\"\n"
                           "gossip = \"10.0.0.1:4\"\n"
                           "metrics = \"10.0.0.1:5\"\n";
  const auto Read = readEdgeSettings(Text, "edge.toml", Found);
  INFO(Found.text());
  REQUIRE(Read);
  CHECK(Read->Seeds_.empty());
}
