#include <medlarmoor/config/internal_toml.hpp>

#include <algorithm>
#include <cmath>
#include <fstream>
#include <iterator>
#include <numeric>
#include <sstream>

namespace medlarmoor::config::internal {

namespace {

constexpr std::size_t MaxNameLength = 63;
constexpr std::int64_t MaxDurationMs = 24LL * 60 * 60 * 1000;

/// Returns the Levenshtein distance.
std::size_t editDistance(std::string_view A, std::string_view B) {
  std::vector<std::size_t> Row(B.size() + 1);
  std::iota(Row.begin(), Row.end(), std::size_t{0});
  for (std::size_t I = 0; I < A.size(); ++I) {
    std::size_t Diagonal = Row[0];
    Row[0] = I + 1;
    for (std::size_t J = 0; J < B.size(); ++J) {
      const std::size_t Replaced = Diagonal + (A[I] == B[J] ? 0 : 1);
      Diagonal = Row[J + 1];
      Row[J + 1] = std::min({Replaced, Row[J] + 1, Diagonal + 1});
    }
  }
  return Row.back();
}

bool isName(std::string_view Text) {
  const auto Allowed = [](char C) {
    return (C >= 'a' && C <= 'z') || (C >= '0' && C <= '9') || C == '-';
  };
  return !Text.empty() && Text.size() <= MaxNameLength && Text[0] >= 'a' &&
         Text[0] <= 'z' && std::all_of(Text.begin(), Text.end(), Allowed);
}

Place placeOf(const toml::source_region &Region, const std::string &File) {
  return {File, Region.begin.line, Region.begin.column};
}

/// Returns true if parsing Text fails an assertion of the parser.
bool failsAssertion(std::string_view Text) {
  try {
    const toml::table Ignored = toml::parse(Text);
  } catch (const toml::parse_error &) {
    return false;
  } catch (const ParserAssertion &) {
    return true;
  }
  return false;
}

/// Returns the number of the first line on which the parser fails one of its
/// assertions; a failed assertion carries no position. The parser reads from
/// front to back, so texts that end before that line fail no assertion.
std::uint32_t lineOfFailedAssertion(std::string_view Text) {
  std::vector<std::size_t> LineEnds;
  for (std::size_t Newline = Text.find('\n'); Newline != std::string_view::npos;
       Newline = Text.find('\n', Newline + 1))
    LineEnds.push_back(Newline + 1);
  const auto First = std::partition_point(
      LineEnds.begin(), LineEnds.end(),
      [Text](std::size_t End) { return !failsAssertion(Text.substr(0, End)); });
  return static_cast<std::uint32_t>(First - LineEnds.begin()) + 1;
}

std::string quoted(std::string_view Text) {
  return "'" + std::string(Text) + "'";
}

std::string formatNumber(double Value) {
  std::ostringstream Stream;
  Stream << Value;
  return Stream.str();
}

} // namespace

void throwParserAssertion() { throw ParserAssertion(); }

std::string nearest(std::string_view Word,
                    const std::vector<std::string> &Known) {
  std::string Best;
  std::size_t BestDistance = std::max<std::size_t>(Word.size() / 2, 2) + 1;
  for (const std::string &Candidate : Known) {
    const std::size_t Distance = editDistance(Word, Candidate);
    if (Distance >= BestDistance)
      continue;
    Best = Candidate;
    BestDistance = Distance;
  }
  return Best;
}

TableReader::TableReader(const toml::table &Table, std::string Name,
                         const std::string &File, Findings &Errors)
    : Table_(Table), Name_(std::move(Name)), File_(File), Errors_(Errors) {}

Place TableReader::place(std::string_view Key) const {
  if (const toml::node *Node = Table_.get(Key))
    return placeOf(Node->source(), File_);
  return placeOf(Table_.source(), File_);
}

void TableReader::report(std::string_view Key, std::string Message,
                         std::string Hint) {
  Errors_.add(place(Key), std::move(Message), std::move(Hint));
}

const toml::node *TableReader::find(std::string_view Key,
                                    Presence KeyPresence) {
  KnownKeys_.emplace_back(Key);
  const toml::node *Node = Table_.get(Key);
  if (!Node && KeyPresence == Presence::Required)
    report(Key, "missing key " + quoted(Key) + " in " + Name_);
  return Node;
}

void TableReader::reportWrongType(std::string_view Key,
                                  const char *ExpectedType) {
  report(Key, quoted(Key) + " has the wrong type",
         std::string("expected ") + ExpectedType);
}

void TableReader::text(std::string_view Key, std::string &Target,
                       Presence KeyPresence) {
  const toml::node *Node = find(Key, KeyPresence);
  if (!Node)
    return;
  if (const auto *Value = Node->as_string())
    Target = Value->get();
  else
    reportWrongType(Key, "a string");
}

void TableReader::name(std::string_view Key, std::string &Target) {
  std::string Value;
  const std::size_t ErrorsBefore = Errors_.items().size();
  text(Key, Value, Presence::Required);
  if (Errors_.items().size() != ErrorsBefore)
    return;
  if (!isName(Value))
    return report(
        Key, quoted(Key) + " is not a valid name",
        "1 to 63 characters from a-z, 0-9 and '-', starting with a letter");
  Target = Value;
}

void TableReader::logLevel(std::string &Target) {
  const std::vector<std::string> Levels{"ERROR", "WARN", "INFO", "DEBUG"};
  text("log_level", Target, Presence::Optional);
  if (std::find(Levels.begin(), Levels.end(), Target) == Levels.end())
    report("log_level", "unknown level '" + Target + "'",
           "one of ERROR, WARN, INFO and DEBUG");
}

void TableReader::flag(std::string_view Key, bool &Target) {
  const toml::node *Node = find(Key, Presence::Optional);
  if (!Node)
    return;
  if (const auto *Value = Node->as_boolean())
    Target = Value->get();
  else
    reportWrongType(Key, "true or false");
}

void TableReader::number(std::string_view Key, double &Target, double Min,
                         double Max) {
  const toml::node *Node = find(Key, Presence::Optional);
  if (!Node)
    return;
  if (!Node->is_number())
    return reportWrongType(Key, "a number");
  const double Value = Node->value<double>().value_or(NAN);
  if (std::isfinite(Value) && Value >= Min && Value <= Max)
    Target = Value;
  else
    report(Key, quoted(Key) + " is out of range",
           "from " + formatNumber(Min) + " to " + formatNumber(Max));
}

void TableReader::integer(std::string_view Key, std::int64_t &Target,
                          std::int64_t Min, std::int64_t Max) {
  const toml::node *Node = find(Key, Presence::Optional);
  if (!Node)
    return;
  const auto *Value = Node->as_integer();
  if (!Value)
    return reportWrongType(Key, "a whole number");
  if (Value->get() >= Min && Value->get() <= Max)
    Target = Value->get();
  else
    report(Key, quoted(Key) + " is out of range",
           "from " + std::to_string(Min) + " to " + std::to_string(Max));
}

void TableReader::duration(std::string_view Key, Millis &Target) {
  std::int64_t Value = Target.count();
  integer(Key, Value, 1, MaxDurationMs);
  Target = Millis(Value);
}

void TableReader::address(std::string_view Key, Ipv4 &Target,
                          Presence KeyPresence) {
  std::string Value = Target.text();
  const std::size_t ErrorsBefore = Errors_.items().size();
  text(Key, Value, KeyPresence);
  if (Errors_.items().size() != ErrorsBefore)
    return;
  if (const std::optional<Ipv4> Parsed = Ipv4::parse(Value))
    Target = *Parsed;
  else
    report(Key, quoted(Key) + " is not an IPv4 address",
           "for example \"127.0.0.1\"");
}

void TableReader::endpoint(std::string_view Key, Endpoint &Target) {
  std::string Value;
  const std::size_t ErrorsBefore = Errors_.items().size();
  text(Key, Value, Presence::Required);
  if (Errors_.items().size() != ErrorsBefore)
    return;
  if (const std::optional<Endpoint> Parsed = Endpoint::parse(Value))
    Target = *Parsed;
  else
    report(Key, quoted(Key) + " is not an address and port",
           "for example \"127.0.0.1:7200\"");
}

void TableReader::endpoints(std::string_view Key, std::vector<Endpoint> &Target,
                            Presence KeyPresence) {
  const toml::node *Node = find(Key, KeyPresence);
  if (!Node)
    return;
  const toml::array *Array = Node->as_array();
  if (!Array)
    return reportWrongType(Key, "a list of strings");
  if (Array->empty() && KeyPresence == Presence::Required)
    report(Key, quoted(Key) + " is empty", "give at least one");
  for (const toml::node &Element : *Array) {
    const auto *Value = Element.as_string();
    const std::optional<Endpoint> Parsed =
        Value ? Endpoint::parse(Value->get()) : std::nullopt;
    if (Parsed)
      Target.push_back(*Parsed);
    else
      Errors_.add(placeOf(Element.source(), File_), "not an address and port",
                  "for example \"192.0.2.10:443\"");
  }
}

const toml::table *TableReader::table(std::string_view Key) {
  const toml::node *Node = find(Key, Presence::Optional);
  if (!Node)
    return nullptr;
  if (!Node->is_table())
    reportWrongType(Key, "a table");
  return Node->as_table();
}

std::vector<const toml::table *> TableReader::tables(std::string_view Key,
                                                     Presence KeyPresence) {
  std::vector<const toml::table *> Tables;
  const toml::node *Node = find(Key, KeyPresence);
  if (!Node)
    return Tables;
  const toml::array *Array = Node->as_array();
  if (!Array) {
    reportWrongType(Key, "an array of tables");
    return Tables;
  }
  if (Array->empty() && KeyPresence == Presence::Required)
    report(Key, quoted(Key) + " is empty", "give at least one");
  for (const toml::node &Element : *Array) {
    if (const toml::table *Table = Element.as_table())
      Tables.push_back(Table);
    else
      Errors_.add(placeOf(Element.source(), File_),
                  quoted(Key) + " contains an element that is not a table");
  }
  return Tables;
}

void TableReader::finish() {
  for (const auto &[Key, Node] : Table_) {
    if (std::find(KnownKeys_.begin(), KnownKeys_.end(), Key.str()) !=
        KnownKeys_.end())
      continue;
    const std::string Suggestion = nearest(Key.str(), KnownKeys_);
    Errors_.add(
        placeOf(Key.source(), File_),
        "unknown key " + quoted(Key.str()) + " in " + Name_,
        Suggestion.empty() ? "" : "did you mean " + quoted(Suggestion) + "?");
  }
}

std::optional<toml::table>
parseToml(std::string_view Text, const std::string &File, Findings &Errors) {
  try {
    return toml::parse(Text, std::string_view(File));
  } catch (const toml::parse_error &Error) {
    Place ErrorPlace = placeOf(Error.source(), File);
    ErrorPlace.Line_ = std::max(ErrorPlace.Line_, 1U);
    ErrorPlace.Column_ = std::max(ErrorPlace.Column_, 1U);
    Errors.add(ErrorPlace, "invalid TOML: " + std::string(Error.description()));
  } catch (const ParserAssertion &) {
    Errors.add({File, lineOfFailedAssertion(Text), 1},
               "invalid TOML: malformed key");
  }
  return std::nullopt;
}

std::optional<std::string> readFile(const std::string &File, Findings &Errors) {
  std::ifstream Stream(File, std::ios::binary);
  if (!Stream) {
    Errors.add({File, 0, 0}, "can't be read", "is the path right?");
    return std::nullopt;
  }
  return std::string(std::istreambuf_iterator<char>(Stream), {});
}

} // namespace medlarmoor::config::internal
