#include <medlarmoor/config/internal_toml.hpp>
#include <medlarmoor/config/read_edge_settings.hpp>

#include <algorithm>

namespace medlarmoor::config {

using internal::Presence;
using internal::TableReader;

namespace {

template <typename Tag>
void readName(TableReader &In, const char *Key, Strong<std::string, Tag> &Out) {
  std::string Value;
  In.name(Key, Value);
  Out = Strong<std::string, Tag>(Value);
}

void readLogLevel(TableReader &In, std::string &Out) {
  const std::vector<std::string> Levels{"ERROR", "WARN", "INFO", "DEBUG"};
  In.text("log_level", Out, Presence::Optional);
  if (std::find(Levels.begin(), Levels.end(), Out) == Levels.end())
    In.report("log_level", "unknown level '" + Out + "'",
              "one of ERROR, WARN, INFO and DEBUG");
}

void readListen(TableReader In, EdgeSettings &Out) {
  In.endpoint("packets", Out.Packets_);
  In.endpoint("readiness", Out.Readiness_);
  In.text("readiness_path", Out.ReadinessPath_, Presence::Optional);
  if (!Out.ReadinessPath_.starts_with('/'))
    In.report("readiness_path", "'readiness_path' does not begin with '/'");
  In.endpoint("peers", Out.Peers_);
  In.endpoint("gossip", Out.Gossip_);
  In.endpoint("metrics", Out.Metrics_);
  In.finish();
  if (Out.Readiness_ == Out.Metrics_ && Out.Metrics_ != Endpoint())
    In.report("metrics", "'metrics' and 'readiness' share an address");
}

/// A duration in seconds, which may have a fraction.
void readSeconds(TableReader &In, const char *Key, Millis &Out) {
  constexpr double Longest = 3600;
  std::chrono::duration<double> Value = Out;
  double Count = Value.count();
  In.number(Key, Count, 0.001, Longest);
  Out =
      std::chrono::duration_cast<Millis>(std::chrono::duration<double>(Count));
}

void readBounds(TableReader In, EdgeSettings &Out) {
  readSeconds(In, "grace_s", Out.Grace_);
  readSeconds(In, "flow_age_limit_s", Out.FlowAge_);
  In.duration("apply_limit_ms", Out.ApplyLimit_);
  In.finish();
}

} // namespace

std::optional<EdgeSettings> readEdgeSettings(std::string_view Text,
                                             const std::string &File,
                                             Findings &Out) {
  const std::size_t Before = Out.items().size();
  const std::optional<toml::table> Root = internal::parseToml(Text, File, Out);
  if (!Root)
    return std::nullopt;
  EdgeSettings Read;
  TableReader In(*Root, "settings", File, Out);
  readName(In, "name", Read.Name_);
  readName(In, "domain", Read.Domain_);
  In.address("address", Read.Address_);
  In.endpoint("store", Read.Store_);
  In.endpoints("seeds", Read.Seeds_, Presence::Optional);
  readLogLevel(In, Read.LogLevel_);
  if (const toml::table *Table = In.table("listen"))
    readListen({*Table, "listen", File, Out}, Read);
  if (const toml::table *Table = In.table("bounds"))
    readBounds({*Table, "bounds", File, Out}, Read);
  In.finish();
  if (Out.items().size() != Before)
    return std::nullopt;
  return Read;
}

std::optional<EdgeSettings> readEdgeSettingsFile(const std::string &File,
                                                 Findings &Out) {
  const std::optional<std::string> Text = internal::readFile(File, Out);
  if (!Text)
    return std::nullopt;
  return readEdgeSettings(*Text, File, Out);
}

} // namespace medlarmoor::config
