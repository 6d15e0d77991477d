#include <medlarmoor/config/internal_toml.hpp>

#include <algorithm>
#include <cmath>
#include <fstream>
#include <iterator>
#include <numeric>
#include <sstream>

namespace medlarmoor::config::internal {

namespace {

constexpr std::size_t LongestName = 63;
constexpr std::int64_t LongestDurationMs = 24LL * 60 * 60 * 1000;

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
  return !Text.empty() && Text.size() <= LongestName && Text[0] >= 'a' &&
         Text[0] <= 'z' && std::all_of(Text.begin(), Text.end(), Allowed);
}

Place placeOf(const toml::source_region &Where, const std::string &File) {
  return {File, Where.begin.line, Where.begin.column};
}

bool asserts(std::string_view Text) {
  try {
    const toml::table Ignored = toml::parse(Text);
  } catch (const toml::parse_error &) {
    return false;
  } catch (const ParserAssertion &) {
    return true;
  }
  return false;
}

/// The first line with which the parser meets an assertion of its own, which
/// does not tell the place. The parser reads from front to back, so the texts
/// that end before that line do not.
std::uint32_t assertingLine(std::string_view Text) {
  std::vector<std::size_t> Ends;
  for (std::size_t At = Text.find('\n'); At != std::string_view::npos;
       At = Text.find('\n', At + 1))
    Ends.push_back(At + 1);
  const auto First =
      std::partition_point(Ends.begin(), Ends.end(), [Text](std::size_t End) {
        return !asserts(Text.substr(0, End));
      });
  return static_cast<std::uint32_t>(First - Ends.begin()) + 1;
}

std::string quoted(std::string_view Word) {
  return "'" + std::string(Word) + "'";
}

std::string shown(double Value) {
  std::ostringstream Out;
  Out << Value;
  return Out.str();
}

} // namespace

void throwParserAssertion() { throw ParserAssertion(); }

std::string nearest(std::string_view Word,
                    const std::vector<std::string> &Known) {
  std::string Best;
  std::size_t BestDistance = std::max<std::size_t>(Word.size() / 2, 2) + 1;
  for (const std::string &Each : Known) {
    const std::size_t Distance = editDistance(Word, Each);
    if (Distance >= BestDistance)
      continue;
    Best = Each;
    BestDistance = Distance;
  }
  return Best;
}

TableReader::TableReader(const toml::table &Table, std::string Name,
                         const std::string &File, Findings &Out)
    : Table_(Table), Name_(std::move(Name)), File_(File), Out_(Out) {}

Place TableReader::place(std::string_view Key) const {
  if (const toml::node *Node = Table_.get(Key))
    return placeOf(Node->source(), File_);
  return placeOf(Table_.source(), File_);
}

void TableReader::report(std::string_view Key, std::string Message,
                         std::string Hint) {
  Out_.add(place(Key), std::move(Message), std::move(Hint));
}

const toml::node *TableReader::find(std::string_view Key, Presence Need) {
  Known_.emplace_back(Key);
  const toml::node *Node = Table_.get(Key);
  if (!Node && Need == Presence::Required)
    report(Key, "missing key " + quoted(Key) + " in " + Name_);
  return Node;
}

void TableReader::wrongType(std::string_view Key, const char *Wanted) {
  report(Key, quoted(Key) + " has the wrong type",
         std::string("it takes ") + Wanted);
}

void TableReader::text(std::string_view Key, std::string &Out, Presence Need) {
  const toml::node *Node = find(Key, Need);
  if (!Node)
    return;
  if (const auto *Value = Node->as_string())
    Out = Value->get();
  else
    wrongType(Key, "a string");
}

void TableReader::name(std::string_view Key, std::string &Out) {
  std::string Value;
  const std::size_t Before = Out_.items().size();
  text(Key, Value, Presence::Required);
  if (Out_.items().size() != Before)
    return;
  if (!isName(Value))
    return report(Key, quoted(Key) + " is not a name",
                  "1 to 63 of a-z, 0-9 and '-', a letter first");
  Out = Value;
}

void TableReader::logLevel(std::string &Out) {
  const std::vector<std::string> Levels{"ERROR", "WARN", "INFO", "DEBUG"};
  text("log_level", Out, Presence::Optional);
  if (std::find(Levels.begin(), Levels.end(), Out) == Levels.end())
    report("log_level", "unknown level '" + Out + "'",
           "one of ERROR, WARN, INFO and DEBUG");
}

void TableReader::flag(std::string_view Key, bool &Out) {
  const toml::node *Node = find(Key, Presence::Optional);
  if (!Node)
    return;
  if (const auto *Value = Node->as_boolean())
    Out = Value->get();
  else
    wrongType(Key, "true or false");
}

void TableReader::number(std::string_view Key, double &Out, double Least,
                         double Greatest) {
  const toml::node *Node = find(Key, Presence::Optional);
  if (!Node)
    return;
  if (!Node->is_number())
    return wrongType(Key, "a number");
  const double Value = Node->value<double>().value_or(NAN);
  if (std::isfinite(Value) && Value >= Least && Value <= Greatest)
    Out = Value;
  else
    report(Key, quoted(Key) + " is out of range",
           "from " + shown(Least) + " to " + shown(Greatest));
}

void TableReader::integer(std::string_view Key, std::int64_t &Out,
                          std::int64_t Least, std::int64_t Greatest) {
  const toml::node *Node = find(Key, Presence::Optional);
  if (!Node)
    return;
  const auto *Value = Node->as_integer();
  if (!Value)
    return wrongType(Key, "a whole number");
  if (Value->get() >= Least && Value->get() <= Greatest)
    Out = Value->get();
  else
    report(Key, quoted(Key) + " is out of range",
           "from " + std::to_string(Least) + " to " + std::to_string(Greatest));
}

void TableReader::duration(std::string_view Key, Millis &Out) {
  std::int64_t Value = Out.count();
  integer(Key, Value, 1, LongestDurationMs);
  Out = Millis(Value);
}

void TableReader::address(std::string_view Key, Ipv4 &Out, Presence Need) {
  std::string Value = Out.text();
  const std::size_t Before = Out_.items().size();
  text(Key, Value, Need);
  if (Out_.items().size() != Before)
    return;
  if (const std::optional<Ipv4> Read = Ipv4::parse(Value))
    Out = *Read;
  else
    report(Key, quoted(Key) + " is not an IPv4 address",
           "for example \"127.0.0.1\"");
}

void TableReader::endpoint(std::string_view Key, Endpoint &Out) {
  std::string Value;
  const std::size_t Before = Out_.items().size();
  text(Key, Value, Presence::Required);
  if (Out_.items().size() != Before)
    return;
  if (const std::optional<Endpoint> Read = Endpoint::parse(Value))
    Out = *Read;
  else
    report(Key, quoted(Key) + " is not an address and port",
           "for example \"127.0.0.1:7200\"");
}

void TableReader::endpoints(std::string_view Key, std::vector<Endpoint> &Out,
                            Presence Need) {
  const toml::node *Node = find(Key, Need);
  if (!Node)
    return;
  const toml::array *List = Node->as_array();
  if (!List)
    return wrongType(Key, "a list of strings");
  if (List->empty() && Need == Presence::Required)
    report(Key, quoted(Key) + " is empty", "give at least one");
  for (const toml::node &Each : *List) {
    const auto *Value = Each.as_string();
    const std::optional<Endpoint> Read =
        Value ? Endpoint::parse(Value->get()) : std::nullopt;
    if (Read)
      Out.push_back(*Read);
    else
      Out_.add(placeOf(Each.source(), File_), "not an address and port",
               "for example \"192.0.2.10:443\"");
  }
}

const toml::table *TableReader::table(std::string_view Key) {
  const toml::node *Node = find(Key, Presence::Optional);
  if (!Node)
    return nullptr;
  if (!Node->is_table())
    wrongType(Key, "a table");
  return Node->as_table();
}

std::vector<const toml::table *> TableReader::tables(std::string_view Key,
                                                     Presence Need) {
  std::vector<const toml::table *> Out;
  const toml::node *Node = find(Key, Need);
  if (!Node)
    return Out;
  const toml::array *List = Node->as_array();
  if (!List) {
    wrongType(Key, "an array of tables");
    return Out;
  }
  if (List->empty() && Need == Presence::Required)
    report(Key, quoted(Key) + " is empty", "give at least one");
  for (const toml::node &Each : *List) {
    if (const toml::table *Table = Each.as_table())
      Out.push_back(Table);
    else
      Out_.add(placeOf(Each.source(), File_),
               quoted(Key) + " holds something that is not a table");
  }
  return Out;
}

void TableReader::finish() {
  for (const auto &[Key, Node] : Table_) {
    if (std::find(Known_.begin(), Known_.end(), Key.str()) != Known_.end())
      continue;
    const std::string Near = nearest(Key.str(), Known_);
    Out_.add(placeOf(Key.source(), File_),
             "unknown key " + quoted(Key.str()) + " in " + Name_,
             Near.empty() ? "" : "did you mean " + quoted(Near) + "?");
  }
}

std::optional<toml::table> parseToml(std::string_view Text,
                                     const std::string &File, Findings &Out) {
  try {
    return toml::parse(Text, std::string_view(File));
  } catch (const toml::parse_error &Error) {
    Place Where = placeOf(Error.source(), File);
    Where.Line_ = std::max(Where.Line_, 1U);
    Where.Column_ = std::max(Where.Column_, 1U);
    Out.add(Where, "not TOML: " + std::string(Error.description()));
  } catch (const ParserAssertion &) {
    Out.add({File, assertingLine(Text), 1}, "not TOML: malformed key");
  }
  return std::nullopt;
}

std::optional<std::string> readFile(const std::string &File, Findings &Out) {
  std::ifstream In(File, std::ios::binary);
  if (!In) {
    Out.add({File, 0, 0}, "can't be read", "is the path right?");
    return std::nullopt;
  }
  return std::string(std::istreambuf_iterator<char>(In), {});
}

} // namespace medlarmoor::config::internal
