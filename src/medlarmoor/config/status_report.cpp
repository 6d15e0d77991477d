#include <medlarmoor/config/internal_json.hpp>
#include <medlarmoor/config/status_report.hpp>

#include <utility>

namespace medlarmoor::config {

using internal::Json;
using internal::member;
using internal::textAt;
using internal::unsignedAt;

namespace {

constexpr std::uint64_t GreatestMs = 1ULL << 53U;

std::uint64_t millis(WallTime Time) {
  return static_cast<std::uint64_t>(Time.time_since_epoch().count());
}

WallTime toWall(std::uint64_t Ms) {
  return WallTime(Millis(static_cast<std::int64_t>(Ms)));
}

WallTime roundedUp(WallTime Time) { return std::chrono::ceil<Seconds>(Time); }

bool readGroup(const Json &In, StatusReport &Out) {
  const auto Version = unsignedAt(In, "version");
  const auto Since = unsignedAt(In, "sinceMs", GreatestMs);
  const Json *Names = member(In, "entries");
  if (!Version || !Since || !Names || !Names->is_array())
    return false;
  for (const Json &Each : *Names) {
    if (!Each.is_string())
      return false;
    Out.Entries_.insert_or_assign(
        EntryName(Each.get<std::string>()),
        EntryStatus{ConfigVersion(*Version), toWall(*Since)});
  }
  return true;
}

} // namespace

std::string StatusReport::text() const {
  std::map<std::pair<ConfigVersion, WallTime>, Json> Groups;
  for (const auto &[Name, Each] : Entries_) {
    Json &Names = Groups[{Each.Version_, roundedUp(Each.Since_)}];
    if (Names.is_null())
      Names = Json::array();
    Names.push_back(Name.value());
  }
  Json Out{{"writer", Writer_.value()},
           {"writtenMs", millis(Written_)},
           {"groups", Json::array()}};
  for (auto &[Key, Names] : Groups)
    Out["groups"].push_back({{"version", Key.first.value()},
                             {"sinceMs", millis(Key.second)},
                             {"entries", std::move(Names)}});
  return internal::canonical(Out);
}

std::optional<StatusReport> readStatusReport(const std::string &Text) {
  const Json In = Json::parse(Text, nullptr, false);
  const auto Writer = textAt(In, "writer");
  const auto Written = unsignedAt(In, "writtenMs", GreatestMs);
  const Json *Groups = member(In, "groups");
  if (!Writer || !Written || !Groups || !Groups->is_array())
    return std::nullopt;
  StatusReport Out{EntryName(*Writer), toWall(*Written), {}};
  for (const Json &Each : *Groups)
    if (!readGroup(Each, Out))
      return std::nullopt;
  return Out;
}

} // namespace medlarmoor::config
