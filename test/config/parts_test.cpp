#include <medlarmoor/config/manifest.hpp>
#include <medlarmoor/config/parts.hpp>
#include <medlarmoor/config/read_environment.hpp>

#include <catch2/catch.hpp>

#include <algorithm>

using namespace medlarmoor;
using namespace medlarmoor::config;

namespace {

Environment muscat() {
  Findings Found;
  return readEnvironmentFile(MEDLARMOOR_SOURCE_DIR "/examples/muscat.toml",
                             Found)
      .value();
}

} // namespace

TEST_CASE("a document that was cut into parts joins to itself") {
  Environment In = muscat();
  In.Services_[0].Upstreams_[2].Domain_ = DomainName("muttrah");
  In.Services_[0].Upstreams_[2].Weight_ = 0.1 + 0.2;
  In.Services_[1].Upstreams_[0].Drain_ = true;
  std::string Reason;
  CHECK(joinParts("muscat", splitParts(In), Reason) == sorted(In));
  CHECK(Reason.empty());
}

TEST_CASE("a change replaces one part and one index part") {
  const Environment Before = muscat();
  Environment After = Before;
  After.Services_[0].Upstreams_[2].Weight_ = 2;
  const auto Old = idsOf(splitParts(Before));
  const auto New = idsOf(splitParts(After));
  std::vector<PartId> Added;
  std::set_difference(New.begin(), New.end(), Old.begin(), Old.end(),
                      std::back_inserter(Added));
  CHECK(Added.size() == 1);
  const IndexParts OldIndex = makeIndex(Old);
  std::size_t Replaced = 0;
  for (const auto &[Id, Text] : makeIndex(New))
    Replaced += OldIndex.count(Id) == 0 ? 1 : 0;
  CHECK(Replaced == 1);
}

TEST_CASE("the index lists all parts and detects other contents") {
  const auto Ids = idsOf(splitParts(muscat()));
  std::vector<PartId> Listed;
  std::string Reason;
  for (const auto &[Id, Text] : makeIndex(Ids)) {
    const auto Read = readIndex(Id, Text, Reason);
    REQUIRE(Read);
    Listed.insert(Listed.end(), Read->begin(), Read->end());
    CHECK_FALSE(readIndex(Id, Text + " ", Reason));
  }
  std::sort(Listed.begin(), Listed.end());
  CHECK(Listed == Ids);
}

TEST_CASE("a part with other contents than its id names is refused") {
  const PartSet Parts = splitParts(muscat());
  const auto &[Id, First] = *Parts.begin();
  std::string Reason;
  CHECK(readPart(Id, First->Text_, Reason));
  CHECK_FALSE(readPart(Id, First->Text_ + " ", Reason));
  CHECK(Reason == "part '" + Id.value() + "' has other contents");
}

TEST_CASE("parts that do not fit each other do not join") {
  PartSet Parts = splitParts(muscat());
  const auto Head = std::find_if(Parts.begin(), Parts.end(), [](auto &Each) {
    return std::holds_alternative<ServicePart>(Each.second->Content_);
  });
  Parts.erase(Head);
  std::string Reason;
  CHECK_FALSE(joinParts("muscat", Parts, Reason));
  CHECK(Reason == "upstreams of the unknown service 'booking-portal'");
}

TEST_CASE("a manifest reads what it prints") {
  const PartSet Parts = splitParts(muscat());
  Manifest Out;
  Out.Version_ = ConfigVersion(7);
  Out.Token_ = "t";
  for (const auto &[Id, Text] : makeIndex(idsOf(Parts)))
    Out.Index_.push_back(Id);
  Out.Before_ = {{ConfigVersion(6), "s"}};
  Out.Origin_ = Origin{"muscat-trial", ConfigVersion(3)};
  Out.Delta_ = Delta{ConfigVersion(6), Parts, {PartId("a.b.c")}};
  std::string Reason;
  const auto Read = readManifest(Out.text(), Reason);
  INFO(Reason);
  REQUIRE(Read);
  CHECK(Read->text() == Out.text());
  CHECK(Read->Origin_ == Out.Origin_);
  CHECK(idsOf(Read->Delta_->Added_) == idsOf(Parts));
}
