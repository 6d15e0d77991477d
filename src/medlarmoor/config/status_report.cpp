#include <medlarmoor/config/internal_json.hpp>
#include <medlarmoor/config/status_report.hpp>

#include <utility>

namespace medlarmoor::config {

using internal::Json;
using internal::member;
using internal::textAt;
using internal::unsignedAt;

namespace {

/// Upper bound of the times that are accepted, in milliseconds.
constexpr std::uint64_t MaxTimeMs = 1ULL << 53U;

std::uint64_t toMillis(WallTime Time) {
  return static_cast<std::uint64_t>(Time.time_since_epoch().count());
}

WallTime toWallTime(std::uint64_t Ms) {
  return WallTime(Millis(static_cast<std::int64_t>(Ms)));
}

WallTime roundUpToSecond(WallTime Time) {
  return std::chrono::ceil<Seconds>(Time);
}

bool readGroup(const Json &Group, StatusReport &Report) {
  const auto Version = unsignedAt(Group, "version");
  const auto Since = unsignedAt(Group, "sinceMs", MaxTimeMs);
  const Json *Names = member(Group, "entries");
  if (!Version || !Since || !Names || !Names->is_array())
    return false;
  for (const Json &Name : *Names) {
    if (!Name.is_string())
      return false;
    Report.Entries_.insert_or_assign(
        EntryName(Name.get<std::string>()),
        EntryStatus{ConfigVersion(*Version), toWallTime(*Since)});
  }
  return true;
}

} // namespace

std::string StatusReport::text() const {
  std::map<std::pair<ConfigVersion, WallTime>, Json> Groups;
  for (const auto &[Name, Status] : Entries_) {
    Json &Names = Groups[{Status.Version_, roundUpToSecond(Status.Since_)}];
    if (Names.is_null())
      Names = Json::array();
    Names.push_back(Name.value());
  }
  Json Root{{"writer", Writer_.value()},
            {"writtenMs", toMillis(WrittenAt_)},
            {"groups", Json::array()}};
  for (auto &[Key, Names] : Groups)
    Root["groups"].push_back({{"version", Key.first.value()},
                              {"sinceMs", toMillis(Key.second)},
                              {"entries", std::move(Names)}});
  return internal::canonical(Root);
}

std::optional<StatusReport> readStatusReport(const std::string &Text) {
  const Json Root = Json::parse(Text, nullptr, false);
  const auto Writer = textAt(Root, "writer");
  const auto Written = unsignedAt(Root, "writtenMs", MaxTimeMs);
  const Json *Groups = member(Root, "groups");
  if (!Writer || !Written || !Groups || !Groups->is_array())
    return std::nullopt;
  StatusReport Report{EntryName(*Writer), toWallTime(*Written), {}};
  for (const Json &Group : *Groups)
    if (!readGroup(Group, Report))
      return std::nullopt;
  return Report;
}

} // namespace medlarmoor::config
