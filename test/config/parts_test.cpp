#include <medlarmoor/config/manifest.hpp>
#include <medlarmoor/config/parts.hpp>
#include <medlarmoor/config/read_environment.hpp>

#include <catch2/catch.hpp>

#include <algorithm>

using namespace medlarmoor;
using namespace medlarmoor::config;

namespace {

Environment exampleDocument() {
  Findings Errors;
  return readEnvironmentFile(MEDLARMOOR_SOURCE_DIR "/examples/muscat.toml",
                             Errors)
      .value();
}

} // namespace

TEST_CASE("splitting a document and joining its parts restores the document") {
  Environment Document = exampleDocument();
  Document.Services_[0].Upstreams_[2].Domain_ = DomainName("muttrah");
  Document.Services_[0].Upstreams_[2].Weight_ = 0.1 + 0.2;
  Document.Services_[1].Upstreams_[0].Drain_ = true;
  std::string Reason;
  CHECK(joinParts("muscat", splitParts(Document), Reason) == sorted(Document));
  CHECK(Reason.empty());
}

TEST_CASE("changing one upstream replaces one part and one index part") {
  const Environment Before = exampleDocument();
  Environment After = Before;
  After.Services_[0].Upstreams_[2].Weight_ = 2;
  const auto OldIds = idsOf(splitParts(Before));
  const auto NewIds = idsOf(splitParts(After));
  std::vector<PartId> Added;
  std::set_difference(NewIds.begin(), NewIds.end(), OldIds.begin(),
                      OldIds.end(), std::back_inserter(Added));
  CHECK(Added.size() == 1);
  const IndexParts OldIndex = makeIndex(OldIds);
  std::size_t Replaced = 0;
  for (const auto &[Id, Text] : makeIndex(NewIds))
    Replaced += OldIndex.count(Id) == 0 ? 1 : 0;
  CHECK(Replaced == 1);
}

TEST_CASE(
    "the index lists all parts and rejects contents that do not match the id") {
  const auto Ids = idsOf(splitParts(exampleDocument()));
  std::vector<PartId> Listed;
  std::string Reason;
  for (const auto &[Id, Text] : makeIndex(Ids)) {
    const auto Parsed = readIndex(Id, Text, Reason);
    REQUIRE(Parsed);
    Listed.insert(Listed.end(), Parsed->begin(), Parsed->end());
    CHECK_FALSE(readIndex(Id, Text + " ", Reason));
  }
  std::sort(Listed.begin(), Listed.end());
  CHECK(Listed == Ids);
}

TEST_CASE("a part whose contents do not match its id is rejected") {
  const PartSet Parts = splitParts(exampleDocument());
  const auto &[Id, First] = *Parts.begin();
  std::string Reason;
  CHECK(readPart(Id, First->Text_, Reason));
  CHECK_FALSE(readPart(Id, First->Text_ + " ", Reason));
  CHECK(Reason == "part '" + Id.value() + "' does not match its content hash");
}

TEST_CASE("upstreams without their service do not join to a document") {
  PartSet Parts = splitParts(exampleDocument());
  const auto Removed = std::find_if(Parts.begin(), Parts.end(), [](auto &Item) {
    return std::holds_alternative<ServicePart>(Item.second->Content_);
  });
  Parts.erase(Removed);
  std::string Reason;
  CHECK_FALSE(joinParts("muscat", Parts, Reason));
  CHECK(Reason == "upstreams of the unknown service 'booking-portal'");
}

TEST_CASE("a manifest parses back from its text") {
  const PartSet Parts = splitParts(exampleDocument());
  Manifest Original;
  Original.Version_ = ConfigVersion(7);
  Original.Token_ = "t";
  for (const auto &[Id, Text] : makeIndex(idsOf(Parts)))
    Original.Index_.push_back(Id);
  Original.PreviousWrites_ = {{ConfigVersion(6), "s"}};
  Original.Origin_ = Origin{"muscat-trial", ConfigVersion(3)};
  Original.Delta_ = Delta{ConfigVersion(6), Parts, {PartId("a.b.c")}};
  std::string Reason;
  const auto Parsed = readManifest(Original.text(), Reason);
  INFO(Reason);
  REQUIRE(Parsed);
  CHECK(Parsed->text() == Original.text());
  CHECK(Parsed->Origin_ == Original.Origin_);
  CHECK(idsOf(Parsed->Delta_->Added_) == idsOf(Parts));
}
