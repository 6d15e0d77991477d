#ifndef MEDLARMOOR_CONFIG_INTERNAL_TOML_HPP
#define MEDLARMOOR_CONFIG_INTERNAL_TOML_HPP

namespace medlarmoor::config::internal {

/// Thrown in place of a failed assertion of toml++, which some malformed texts
/// violate, for example "[=]".
struct ParserAssertion {};

[[noreturn]] void throwParserAssertion();

} // namespace medlarmoor::config::internal

// With NDEBUG, toml++ would turn its assertions into assumptions of the
// compiler instead of checks.
#undef NDEBUG
#define TOML_ASSERT(Condition)                                                 \
  ((Condition) ? static_cast<void>(0)                                          \
               : medlarmoor::config::internal::throwParserAssertion())
#include <toml++/toml.h>

#include <medlarmoor/core/endpoint.hpp>
#include <medlarmoor/core/findings.hpp>
#include <medlarmoor/core/strong.hpp>
#include <medlarmoor/core/time.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace medlarmoor::config::internal {

/// Whether a key may be omitted.
enum class Presence : unsigned char { Optional, Required };

/// Returns the word in Known with the smallest edit distance to Word, or an
/// empty string if none is similar.
[[nodiscard]] std::string nearest(std::string_view Word,
                                  const std::vector<std::string> &Known);

/// Reads one TOML table key by key. If a key is absent or its value is invalid,
/// the getter leaves its target unchanged. It adds a finding for an invalid
/// value and for an absent required key. finish() reports the keys that no
/// getter has read.
class TableReader {
public:
  /// Name is the name of the table in findings, for example "upstream".
  TableReader(const toml::table &Table, std::string Name,
              const std::string &File, Findings &Errors);

  /// Returns the place of the value of Key, or of the table if Key is absent.
  [[nodiscard]] Place place(std::string_view Key) const;
  /// Adds a finding at the value of Key.
  void report(std::string_view Key, std::string Message, std::string Hint = {});

  void text(std::string_view Key, std::string &Target, Presence KeyPresence);
  /// Reads a required name: 1 to 63 characters from a-z, 0-9 and '-', starting
  /// with a letter.
  void name(std::string_view Key, std::string &Target);
  /// Reads a required name into a strong type, which is empty if the name is
  /// invalid.
  template <typename Tag>
  void name(std::string_view Key, Strong<std::string, Tag> &Target) {
    std::string Value;
    name(Key, Value);
    Target = Strong<std::string, Tag>(Value);
  }
  /// Reads the optional key "log_level": ERROR, WARN, INFO or DEBUG.
  void logLevel(std::string &Target);
  /// Reads an optional boolean.
  void flag(std::string_view Key, bool &Target);
  /// Reads an optional number from Min to Max.
  void number(std::string_view Key, double &Target, double Min, double Max);
  /// Reads an optional integer from Min to Max.
  void integer(std::string_view Key, std::int64_t &Target, std::int64_t Min,
               std::int64_t Max);
  /// Reads an optional duration in whole milliseconds, from 1 ms to one day.
  void duration(std::string_view Key, Millis &Target);
  void address(std::string_view Key, Ipv4 &Target,
               Presence KeyPresence = Presence::Required);
  /// Reads a required address and port.
  void endpoint(std::string_view Key, Endpoint &Target);
  /// Appends the endpoints of a list, which must not be empty if the key is
  /// required.
  void endpoints(std::string_view Key, std::vector<Endpoint> &Target,
                 Presence KeyPresence = Presence::Required);
  /// Returns the optional table at Key, or null if it is absent or not a table.
  [[nodiscard]] const toml::table *table(std::string_view Key);
  /// Returns the tables of the array at Key, for example all [[upstream]]
  /// tables.
  [[nodiscard]] std::vector<const toml::table *> tables(std::string_view Key,
                                                        Presence KeyPresence);

  /// Reads an optional integer and converts it to T. Min and Max must lie
  /// within the range of T.
  template <typename T>
  void integerAs(std::string_view Key, T &Target, std::int64_t Min,
                 std::int64_t Max) {
    std::int64_t Value = static_cast<std::int64_t>(Target);
    integer(Key, Value, Min, Max);
    Target = static_cast<T>(Value);
  }

  /// Reports unknown keys, with the most similar known key as a hint. Must be
  /// called after all getters.
  void finish();

private:
  const toml::node *find(std::string_view Key, Presence KeyPresence);
  void reportWrongType(std::string_view Key, const char *ExpectedType);

  const toml::table &Table_;
  std::string Name_;
  const std::string &File_;
  Findings &Errors_;
  /// The keys that getters have asked for, present or not.
  std::vector<std::string> KnownKeys_;
};

/// Parses Text. For a syntax error, adds a finding at its place and returns
/// nullopt.
[[nodiscard]] std::optional<toml::table>
parseToml(std::string_view Text, const std::string &File, Findings &Errors);

/// Returns the bytes of the file. If it can't be read, adds a finding and
/// returns nullopt.
[[nodiscard]] std::optional<std::string> readFile(const std::string &File,
                                                  Findings &Errors);

} // namespace medlarmoor::config::internal

#endif // MEDLARMOOR_CONFIG_INTERNAL_TOML_HPP
