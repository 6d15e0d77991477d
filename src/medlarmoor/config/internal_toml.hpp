#ifndef MEDLARMOOR_CONFIG_INTERNAL_TOML_HPP
#define MEDLARMOOR_CONFIG_INTERNAL_TOML_HPP

namespace medlarmoor::config::internal {

/// Thrown where toml++ asserts what some malformed texts do not keep, for
/// example "[=]".
struct ParserAssertion {};

/// Throws a ParserAssertion.
[[noreturn]] void throwParserAssertion();

} // namespace medlarmoor::config::internal

// With NDEBUG toml++ would let the compiler assume its assertions.
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

/// Whether a key may be left out.
enum class Presence : unsigned char { Optional, Required };

/// The word of Known that is nearest to Word by edit distance, or empty text
/// when none is near.
[[nodiscard]] std::string nearest(std::string_view Word,
                                  const std::vector<std::string> &Known);

/// Reads one TOML table key by key. Each getter leaves its target as it is,
/// and adds a finding where one is due, when the key is absent or its value is
/// wrong. finish() reports the keys that no getter asked for.
class TableReader {
public:
  /// Name is what findings call this table, for example "upstream".
  TableReader(const toml::table &Table, std::string Name,
              const std::string &File, Findings &Out);

  /// The place of the value of Key, or of the table when Key is absent.
  [[nodiscard]] Place place(std::string_view Key) const;
  /// Adds a finding at the value of Key.
  void report(std::string_view Key, std::string Message, std::string Hint = {});

  void text(std::string_view Key, std::string &Out, Presence Need);
  /// A name: 1 to 63 of a-z, 0-9 and '-', the first one a letter.
  void name(std::string_view Key, std::string &Out);
  /// A name of a certain kind.
  template <typename Tag>
  void name(std::string_view Key, Strong<std::string, Tag> &Out) {
    std::string Value;
    name(Key, Value);
    Out = Strong<std::string, Tag>(Value);
  }
  /// The optional key "log_level": ERROR, WARN, INFO or DEBUG.
  void logLevel(std::string &Out);
  void flag(std::string_view Key, bool &Out);
  void number(std::string_view Key, double &Out, double Least, double Greatest);
  void integer(std::string_view Key, std::int64_t &Out, std::int64_t Least,
               std::int64_t Greatest);
  /// A duration in whole milliseconds, from 1 to one day.
  void duration(std::string_view Key, Millis &Out);
  void address(std::string_view Key, Ipv4 &Out,
               Presence Need = Presence::Required);
  void endpoint(std::string_view Key, Endpoint &Out);
  /// A list of endpoints; of at least one when it is required.
  void endpoints(std::string_view Key, std::vector<Endpoint> &Out,
                 Presence Need = Presence::Required);
  /// The table below Key, or null.
  [[nodiscard]] const toml::table *table(std::string_view Key);
  /// The tables of the array Key, for example all [[upstream]].
  [[nodiscard]] std::vector<const toml::table *> tables(std::string_view Key,
                                                        Presence Need);

  /// An integer that goes into a narrower type.
  template <typename T>
  void whole(std::string_view Key, T &Out, std::int64_t Least,
             std::int64_t Greatest) {
    std::int64_t Value = static_cast<std::int64_t>(Out);
    integer(Key, Value, Least, Greatest);
    Out = static_cast<T>(Value);
  }

  /// Reports unknown keys, with the nearest known one as a hint.
  void finish();

private:
  const toml::node *find(std::string_view Key, Presence Need);
  void wrongType(std::string_view Key, const char *Wanted);

  const toml::table &Table_;
  std::string Name_;
  const std::string &File_;
  Findings &Out_;
  std::vector<std::string> Known_;
};

/// Parses Text; nothing, with a finding at its place, for a syntax error.
[[nodiscard]] std::optional<toml::table>
parseToml(std::string_view Text, const std::string &File, Findings &Out);

/// The bytes of the file; nothing, with a finding, when it can't be read.
[[nodiscard]] std::optional<std::string> readFile(const std::string &File,
                                                  Findings &Out);

} // namespace medlarmoor::config::internal

#endif // MEDLARMOOR_CONFIG_INTERNAL_TOML_HPP
