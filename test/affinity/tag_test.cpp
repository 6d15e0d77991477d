#include <medlarmoor/affinity/flow_key.hpp>
#include <medlarmoor/affinity/tag.hpp>

#include <catch2/catch.hpp>

#include <set>

using namespace medlarmoor;
using namespace medlarmoor::affinity;

TEST_CASE("a tag depends on the name alone and is never NoTag") {
  CHECK(tagOf(UpstreamName("i-7f3a91c2")) == tagOf(UpstreamName("i-7f3a91c2")));
  std::set<Tag> Tags;
  for (int I = 0; I < 1000; ++I) {
    const Tag Hashed = tagOf(UpstreamName("i-" + std::to_string(I)));
    CHECK(Hashed != NoTag);
    Tags.insert(Hashed);
  }
  CHECK(Tags.size() == 1000);
}

TEST_CASE("tags are the same in all releases") {
  // Instances of two releases serve the same flows during an upgrade.
  CHECK(tagOf(UpstreamName("i-7f3a91c2")) == Tag(120860392));
}

TEST_CASE("a flow is identified by both of its ends") {
  const FlowKey Key{{Ipv4(0x64400007), 40001}, {Ipv4(0xc6120001), 443}};
  CHECK(Key.text() == "100.64.0.7:40001>198.18.0.1:443");
  FlowKey Other = Key;
  Other.Client_ = {Ipv4(0x64400007), 40002};
  CHECK(Key.hash() != Other.hash());
}
