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

std::string textOf(const std::string &Name) {
  std::ifstream In(MEDLARMOOR_SOURCE_DIR "/examples/" + Name);
  return {std::istreambuf_iterator<char>(In), {}};
}

/// Text with some bytes replaced, removed, doubled or cut off.
std::string mutated(std::string Text) {
  const int Edits = *rc::gen::inRange(1, 6);
  for (int I = 0; I < Edits && !Text.empty(); ++I) {
    const auto At = *rc::gen::inRange<std::size_t>(0, Text.size());
    const auto Length = *rc::gen::inRange<std::size_t>(1, 40);
    switch (*rc::gen::inRange(0, 5)) {
    case 0:
      Text[At] = *rc::gen::arbitrary<char>();
      break;
    case 1:
      Text.erase(At, Length);
      break;
    case 2:
      Text.insert(
          At,
          Text.substr(*rc::gen::inRange<std::size_t>(0, Text.size()), Length));
      break;
    case 3:
      Text.insert(At, *rc::gen::element<std::string>(
                          "[", "]", "\"", "=", "\n", "-1", "1e999",
                          "99999999999999999999", "[[service]]\n", "\xff",
                          "inf", "{", "}", "''", "name = 1\n"));
      break;
    default:
      Text.resize(At);
    }
  }
  return Text;
}

/// What was rejected has findings, each with its file and, within a file that
/// could be opened, its line and column.
void checkPlaces(bool Accepted, const Findings &Found) {
  RC_ASSERT(Accepted == Found.empty());
  for (const Finding &Each : Found.items()) {
    RC_ASSERT(Each.Place_.File_ == "m.toml");
    RC_ASSERT(Each.Place_.Line_ > 0);
    RC_ASSERT(Each.Place_.Column_ > 0);
    RC_ASSERT(!Each.Message_.empty());
  }
}

} // namespace

TEST_CASE("every rejection of a mutated document has a place") {
  const std::string Muscat = textOf("muscat.toml");
  CHECK(rc::check([&Muscat] {
    Findings Found;
    const auto Read = readEnvironment(mutated(Muscat), "m.toml", Found);
    checkPlaces(Read.has_value(), Found);
    if (Read) {
      std::string Reason;
      RC_ASSERT(joinParts(Read->Name_, splitParts(*Read), Reason) ==
                sorted(*Read));
    }
  }));
}

TEST_CASE("every rejection of mutated settings has a place") {
  const std::string Entry = textOf("entry.toml");
  CHECK(rc::check([&Entry] {
    Findings Found;
    const auto Read = readSettings(mutated(Entry), "m.toml", Found);
    checkPlaces(Read.has_value(), Found);
  }));
}

TEST_CASE("mutated manifests, parts and reports are read or refused") {
  Findings Found;
  const PartSet Parts =
      splitParts(readEnvironment(textOf("muscat.toml"), "m", Found).value());
  Manifest Whole{ConfigVersion(3),
                 "t",
                 {},
                 {{ConfigVersion(2), "s"}},
                 Origin{"trial", ConfigVersion(1)},
                 Delta{ConfigVersion(2), Parts, {PartId("a.b.c")}}};
  const StatusReport Report{
      EntryName("a"),
      WallTime(Millis(5)),
      {{EntryName("a"), {ConfigVersion(1), WallTime(Millis(4000))}}}};
  CHECK(readStatusReport(Report.text())->Entries_ == Report.Entries_);
  CHECK(rc::check([&] {
    std::string Reason;
    const auto Read = readManifest(mutated(Whole.text()), Reason);
    RC_ASSERT(Read.has_value() == Reason.empty());
    if (const auto Status = readStatusReport(mutated(Report.text())))
      RC_ASSERT(readStatusReport(Status->text()).has_value());
    for (const auto &[Id, Each] : Parts) {
      const std::string Text = mutated(Each->Text_);
      const PartPtr Taken = readPart(Id, Text, Reason);
      RC_ASSERT((Taken != nullptr) == (Text == Each->Text_));
    }
  }));
}
