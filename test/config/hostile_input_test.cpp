#include "fixed_seed.hpp"

#include <medlarmoor/config/manifest.hpp>
#include <medlarmoor/config/parts.hpp>
#include <medlarmoor/config/read_environment.hpp>
#include <medlarmoor/config/read_settings.hpp>
#include <medlarmoor/config/status_report.hpp>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <fstream>
#include <iterator>

using namespace medlarmoor;
using namespace medlarmoor::config;

namespace {

/// Returns the text of a file in examples/.
std::string exampleText(const std::string &Name) {
  std::ifstream Stream(MEDLARMOOR_SOURCE_DIR "/examples/" + Name);
  return {std::istreambuf_iterator<char>(Stream), {}};
}

/// Returns Text after one to five random edits: bytes replaced, removed,
/// duplicated or inserted, or the text truncated.
std::string mutated(std::string Text) {
  const int Edits = *rc::gen::inRange(1, 6);
  for (int I = 0; I < Edits && !Text.empty(); ++I) {
    const auto Position = *rc::gen::inRange<std::size_t>(0, Text.size());
    const auto Length = *rc::gen::inRange<std::size_t>(1, 40);
    switch (*rc::gen::inRange(0, 5)) {
    case 0:
      Text[Position] = *rc::gen::arbitrary<char>();
      break;
    case 1:
      Text.erase(Position, Length);
      break;
    case 2:
      Text.insert(
          Position,
          Text.substr(*rc::gen::inRange<std::size_t>(0, Text.size()), Length));
      break;
    case 3:
      Text.insert(Position, *rc::gen::element<std::string>(
                                "[", "]", "\"", "=", "\n", "-1", "1e999",
                                "99999999999999999999", "[[service]]\n", "\xff",
                                "inf", "{", "}", "''", "name = 1\n"));
      break;
    default:
      Text.resize(Position);
    }
  }
  return Text;
}

/// Checks that there are findings exactly if the text was rejected, and that
/// each has a message and its file, line and column. Only a finding about a
/// file that can't be opened has no line and column.
void checkPlaces(bool Accepted, const Findings &Errors) {
  RC_ASSERT(Accepted == Errors.empty());
  for (const Finding &Error : Errors.items()) {
    RC_ASSERT(Error.Place_.File_ == "m.toml");
    RC_ASSERT(Error.Place_.Line_ > 0);
    RC_ASSERT(Error.Place_.Column_ > 0);
    RC_ASSERT(!Error.Message_.empty());
  }
}

} // namespace

TEST_CASE("every finding about a mutated document has a place") {
  const std::string Muscat = exampleText("muscat.toml");
  CHECK(rc::check([&Muscat] {
    Findings Errors;
    const auto Parsed = readEnvironment(mutated(Muscat), "m.toml", Errors);
    checkPlaces(Parsed.has_value(), Errors);
    if (Parsed) {
      std::string Reason;
      RC_ASSERT(joinParts(Parsed->Name_, splitParts(*Parsed), Reason) ==
                sorted(*Parsed));
    }
  }));
}

TEST_CASE("every finding about mutated settings has a place") {
  const std::string Entry = exampleText("entry.toml");
  CHECK(rc::check([&Entry] {
    Findings Errors;
    const auto Parsed = readSettings(mutated(Entry), "m.toml", Errors);
    checkPlaces(Parsed.has_value(), Errors);
  }));
}

TEST_CASE(
    "mutated manifests, parts and reports are either parsed or rejected") {
  Findings Errors;
  const PartSet Parts = splitParts(
      readEnvironment(exampleText("muscat.toml"), "m", Errors).value());
  Manifest Full{ConfigVersion(3),
                "t",
                {},
                {{ConfigVersion(2), "s"}},
                Origin{"trial", ConfigVersion(1)},
                StoreEpoch(2),
                Delta{ConfigVersion(2), Parts, {PartId("a.b.c")}}};
  const StatusReport Report{
      EntryName("a"),
      WallTime(Millis(5)),
      {{EntryName("a"), {ConfigVersion(1), WallTime(Millis(4000))}}}};
  CHECK(readStatusReport(Report.text())->Entries_ == Report.Entries_);
  CHECK(rc::check([&] {
    std::string Reason;
    const auto Parsed = readManifest(mutated(Full.text()), Reason);
    RC_ASSERT(Parsed.has_value() == Reason.empty());
    if (const auto Status = readStatusReport(mutated(Report.text())))
      RC_ASSERT(readStatusReport(Status->text()).has_value());
    for (const auto &[Id, Original] : Parts) {
      const std::string Text = mutated(Original->Text_);
      const PartPtr Accepted = readPart(Id, Text, Reason);
      RC_ASSERT((Accepted != nullptr) == (Text == Original->Text_));
    }
  }));
}
