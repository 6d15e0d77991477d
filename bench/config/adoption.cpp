#include <bench/config/adoption.hpp>

#include <charconv>
#include <ctime>
#include <fstream>
#include <optional>

namespace medlarmoor::bench {

namespace {

/// The value of "Key=" in a line of key=value pairs; empty when it is not
/// there.
std::string field(const std::string &Line, const std::string &Key) {
  const std::string Start = Key + "=";
  std::size_t At = Line.rfind(Start, 0) == 0 ? 0 : Line.find(" " + Start);
  if (At == std::string::npos)
    return {};
  At = Line.find('=', At) + 1;
  return Line.substr(At, Line.find(' ', At) - At);
}

std::uint64_t number(const std::string &Text) {
  std::uint64_t Out = 0;
  std::from_chars(Text.data(), Text.data() + Text.size(), Out);
  return Out;
}

/// Reads "2026-12-04T04:05:06.789Z".
WallTime time(const std::string &Text) {
  std::tm Parts{};
  const char *Rest = strptime(Text.c_str(), "%Y-%m-%dT%H:%M:%S", &Parts);
  const std::uint64_t Ms = Rest && *Rest == '.' ? number(Rest + 1) : 0;
  return WallTime(Seconds(timegm(&Parts)) + Millis(Ms));
}

} // namespace

std::vector<Adoption> readAdoptions(const std::string &LogFile) {
  std::vector<Adoption> Out;
  std::ifstream In(LogFile);
  for (std::string Line; std::getline(In, Line);)
    if (field(Line, "event") == "config_in_force")
      Out.push_back({time(field(Line, "time")), number(field(Line, "version")),
                     number(field(Line, "digest"))});
  return Out;
}

} // namespace medlarmoor::bench
