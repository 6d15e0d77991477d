#include <medlarmoor/config/internal_toml.hpp>
#include <medlarmoor/config/read_edge_settings.hpp>

namespace medlarmoor::config {

using internal::Presence;
using internal::TableReader;

namespace {

void readListen(TableReader Listen, EdgeSettings &Settings) {
  Listen.endpoint("packets", Settings.Packets_);
  Listen.endpoint("readiness", Settings.Readiness_);
  Listen.text("readiness_path", Settings.ReadinessPath_, Presence::Optional);
  if (!Settings.ReadinessPath_.starts_with('/'))
    Listen.report("readiness_path", "'readiness_path' does not begin with '/'");
  Listen.endpoint("peers", Settings.Peers_);
  Listen.endpoint("gossip", Settings.Gossip_);
  Listen.endpoint("metrics", Settings.Metrics_);
  Listen.finish();
  if (Settings.Readiness_ == Settings.Metrics_ &&
      Settings.Metrics_ != Endpoint())
    Listen.report("metrics", "'metrics' and 'readiness' share an address");
}

/// Reads a duration in seconds, which may have a fraction.
void readSeconds(TableReader &Table, const char *Key, Millis &Target) {
  constexpr double MaxSeconds = 3600;
  std::chrono::duration<double> Value = Target;
  double Count = Value.count();
  Table.number(Key, Count, 0.001, MaxSeconds);
  Target =
      std::chrono::duration_cast<Millis>(std::chrono::duration<double>(Count));
}

/// Reads an optional number that has no default.
void readNumber(TableReader &Table, const char *Key, double Max,
                std::optional<double> &Target) {
  constexpr double Absent = -1;
  double Value = Absent;
  Table.number(Key, Value, 0, Max);
  if (Value != Absent)
    Target = Value;
}

void readBounds(TableReader Bounds, EdgeSettings &Settings) {
  readSeconds(Bounds, "grace_s", Settings.GracePeriod_);
  readSeconds(Bounds, "flow_age_limit_s", Settings.MaxFlowAge_);
  Bounds.duration("apply_limit_ms", Settings.ApplyLimit_);
  Bounds.duration("drain_limit_ms", Settings.DrainLimit_);
  Millis EvacuateLimit{0};
  Bounds.duration("evacuate_limit_ms", EvacuateLimit);
  if (EvacuateLimit > Millis(0))
    Settings.EvacuateLimit_ = EvacuateLimit;
  constexpr double MaxOverage = 1000;
  constexpr double MaxSlack = 1'000'000;
  readNumber(Bounds, "warm_up_overage", MaxOverage, Settings.WarmUpOverage_);
  readNumber(Bounds, "warm_up_slack", MaxSlack, Settings.WarmUpSlack_);
  Bounds.finish();
}

void readAdmission(TableReader Admission, EdgeSettings &Settings) {
  Admission.flag("enabled", Settings.AdmissionEnabled_);
  Admission.finish();
}

} // namespace

std::optional<EdgeSettings> readEdgeSettings(std::string_view Text,
                                             const std::string &File,
                                             Findings &Errors) {
  const std::size_t ErrorsBefore = Errors.items().size();
  const std::optional<toml::table> Root =
      internal::parseToml(Text, File, Errors);
  if (!Root)
    return std::nullopt;
  EdgeSettings Settings;
  TableReader Reader(*Root, "settings", File, Errors);
  Reader.name("name", Settings.Name_);
  Reader.name("domain", Settings.Domain_);
  Reader.address("address", Settings.Address_);
  Reader.endpoint("store", Settings.Store_);
  Reader.endpoints("seeds", Settings.Seeds_, Presence::Optional);
  Reader.logLevel(Settings.LogLevel_);
  if (const toml::table *Table = Reader.table("listen"))
    readListen({*Table, "listen", File, Errors}, Settings);
  if (const toml::table *Table = Reader.table("bounds"))
    readBounds({*Table, "bounds", File, Errors}, Settings);
  if (const toml::table *Table = Reader.table("admission"))
    readAdmission({*Table, "admission", File, Errors}, Settings);
  Reader.finish();
  if (Errors.items().size() != ErrorsBefore)
    return std::nullopt;
  return Settings;
}

std::optional<EdgeSettings> readEdgeSettingsFile(const std::string &File,
                                                 Findings &Errors) {
  const std::optional<std::string> Text = internal::readFile(File, Errors);
  if (!Text)
    return std::nullopt;
  return readEdgeSettings(*Text, File, Errors);
}

} // namespace medlarmoor::config
