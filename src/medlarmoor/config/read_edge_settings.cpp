#include <medlarmoor/config/internal_toml.hpp>
#include <medlarmoor/config/read_edge_settings.hpp>

namespace medlarmoor::config {

using internal::Presence;
using internal::TableReader;

namespace {

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
  In.duration("drain_limit_ms", Out.DrainLimit_);
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
  In.name("name", Read.Name_);
  In.name("domain", Read.Domain_);
  In.address("address", Read.Address_);
  In.endpoint("store", Read.Store_);
  In.endpoints("seeds", Read.Seeds_, Presence::Optional);
  In.logLevel(Read.LogLevel_);
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
