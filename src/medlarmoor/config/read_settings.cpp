#include <medlarmoor/config/internal_toml.hpp>
#include <medlarmoor/config/read_settings.hpp>

#include <array>
#include <charconv>
#include <set>
#include <sstream>

namespace medlarmoor::config {

using internal::Presence;
using internal::TableReader;

namespace {

constexpr std::size_t MinSecretBytes = 16;
constexpr std::int64_t MaxPort = 65535;
constexpr std::int64_t MaxKeyId = 255;
constexpr std::int64_t MaxCount = 100'000'000;

std::optional<std::vector<std::byte>> fromHex(std::string_view Text) {
  if (Text.size() % 2 != 0)
    return std::nullopt;
  std::vector<std::byte> Bytes;
  for (std::size_t I = 0; I < Text.size(); I += 2) {
    const char *First = Text.data() + I;
    unsigned Value = 0;
    const auto [End, Error] = std::from_chars(First, First + 2, Value, 16);
    if (Error != std::errc() || End != First + 2)
      return std::nullopt;
    Bytes.push_back(static_cast<std::byte>(Value));
  }
  return Bytes;
}

std::string toHex(const std::vector<std::byte> &Bytes) {
  constexpr std::string_view Digits = "0123456789abcdef";
  std::string Text;
  for (const std::byte Byte : Bytes) {
    Text += Digits[std::to_integer<unsigned>(Byte) >> 4U];
    Text += Digits[std::to_integer<unsigned>(Byte) & 15U];
  }
  return Text;
}

/// A key of the settings table "ports" and the port that it sets.
struct NamedPort {
  const char *Key_;
  std::uint16_t Ports::*Port_;
};
constexpr std::array PortKeys{NamedPort{"flow", &Ports::Flow_},
                              NamedPort{"peer", &Ports::Peer_},
                              NamedPort{"control", &Ports::Control_},
                              NamedPort{"requests", &Ports::Requests_},
                              NamedPort{"internal", &Ports::Internal_},
                              NamedPort{"config", &Ports::Config_},
                              NamedPort{"admin", &Ports::Admin_}};

void readPorts(TableReader Reader, Ports &Target) {
  std::set<std::uint16_t> UsedPorts;
  for (const NamedPort &Named : PortKeys) {
    Reader.integerAs(Named.Key_, Target.*Named.Port_, 1, MaxPort);
    if (!UsedPorts.insert(Target.*Named.Port_).second)
      Reader.report(Named.Key_, "port " + std::to_string(Target.*Named.Port_) +
                                    " is used twice");
  }
  Reader.finish();
}

SharedKey readKey(TableReader Reader) {
  SharedKey Key;
  std::string Secret;
  Reader.integerAs("id", Key.Id_, 0, MaxKeyId);
  Reader.text("secret", Secret, Presence::Required);
  const auto Bytes = fromHex(Secret);
  if (!Bytes)
    Reader.report("secret", "'secret' is not hexadecimal");
  else if (Bytes->size() < MinSecretBytes && !Secret.empty())
    Reader.report("secret", "'secret' is too short",
                  "at least 32 hexadecimal digits");
  else if (Secret.empty())
    Reader.report("secret", "'secret' is empty",
                  "at least 32 hexadecimal digits");
  else
    Key.Secret_ = *Bytes;
  Reader.finish();
  return Key;
}

void readFlow(TableReader Reader, FlowSettings &Target) {
  Reader.integerAs("flows", Target.MaxFlows_, 1, MaxCount);
  Reader.duration("idle_ms", Target.IdleTimeout_);
  Reader.integerAs("replication_bytes", Target.ReplicationBytesPerSecond_, 0,
                   MaxCount);
  Reader.finish();
}

void readRequests(TableReader Reader, RequestSettings &Target) {
  Reader.integerAs("ledger_keys", Target.MaxLedgerKeys_, 1, MaxCount);
  Reader.duration("horizon_ms", Target.Horizon_);
  Reader.finish();
}

void readMembership(TableReader Reader, MembershipSettings &Target) {
  Reader.duration("heartbeat_ms", Target.HeartbeatPeriod_);
  Reader.duration("lease_ms", Target.Lease_);
  Reader.duration("list_period_ms", Target.ListPeriod_);
  if (Target.Lease_ < 2 * Target.HeartbeatPeriod_)
    Reader.report("lease_ms", "'lease_ms' is shorter than two heartbeats",
                  "one lost heartbeat would end the lease");
  Reader.finish();
}

void readNeighbours(TableReader &Reader, const std::string &File,
                    Settings &Target, Findings &Errors) {
  for (const toml::table *Table :
       Reader.tables("neighbours", Presence::Optional)) {
    TableReader Entry(*Table, "neighbour", File, Errors);
    Neighbour Listed;
    Entry.name("name", Listed.Name_);
    Entry.address("address", Listed.Address_);
    Entry.finish();
    Target.Neighbours_.push_back(Listed);
  }
}

void readKeys(TableReader &Reader, const std::string &File, Settings &Target,
              Findings &Errors) {
  std::set<std::uint8_t> Ids;
  for (const toml::table *Table : Reader.tables("keys", Presence::Required)) {
    TableReader Key(*Table, "key", File, Errors);
    Target.Keys_.push_back(readKey(Key));
    if (!Ids.insert(Target.Keys_.back().Id_).second)
      Key.report("id", "two keys have the id " +
                           std::to_string(Target.Keys_.back().Id_));
  }
}

} // namespace

std::optional<Settings>
readSettings(std::string_view Text, const std::string &File, Findings &Errors) {
  const std::size_t ErrorsBefore = Errors.items().size();
  const std::optional<toml::table> Root =
      internal::parseToml(Text, File, Errors);
  if (!Root)
    return std::nullopt;
  Settings Parsed;
  TableReader Reader(*Root, "settings", File, Errors);
  Reader.name("name", Parsed.Name_);
  Reader.name("domain", Parsed.Domain_);
  Reader.address("address", Parsed.Address_);
  Parsed.AdvertisedAddress_ = Parsed.Address_;
  Reader.address("advertise", Parsed.AdvertisedAddress_, Presence::Optional);
  Reader.endpoint("platform", Parsed.Platform_);
  Reader.name("environment", Parsed.Environment_);
  Reader.flag("doors", Parsed.ListenersEnabled_);
  Reader.logLevel(Parsed.LogLevel_);
  readKeys(Reader, File, Parsed, Errors);
  readNeighbours(Reader, File, Parsed, Errors);
  if (const toml::table *Table = Reader.table("ports"))
    readPorts({*Table, "ports", File, Errors}, Parsed.Ports_);
  if (const toml::table *Table = Reader.table("flow"))
    readFlow({*Table, "flow", File, Errors}, Parsed.Flow_);
  if (const toml::table *Table = Reader.table("requests"))
    readRequests({*Table, "requests", File, Errors}, Parsed.Requests_);
  if (const toml::table *Table = Reader.table("membership"))
    readMembership({*Table, "membership", File, Errors}, Parsed.Membership_);
  Reader.finish();
  if (Errors.items().size() != ErrorsBefore)
    return std::nullopt;
  return Parsed;
}

std::optional<Settings> readSettingsFile(const std::string &File,
                                         Findings &Errors) {
  const std::optional<std::string> Text = internal::readFile(File, Errors);
  if (!Text)
    return std::nullopt;
  return readSettings(*Text, File, Errors);
}

std::string writeSettings(const Settings &Source) {
  std::ostringstream Stream;
  Stream << "name = \"" << Source.Name_.value() << "\"\n"
         << "domain = \"" << Source.Domain_.value() << "\"\n"
         << "address = \"" << Source.Address_.text() << "\"\n"
         << "platform = \"" << Source.Platform_.text() << "\"\n"
         << "environment = \"" << Source.Environment_ << "\"\n"
         << "doors = " << (Source.ListenersEnabled_ ? "true" : "false") << "\n"
         << "log_level = \"" << Source.LogLevel_ << "\"\n";
  if (Source.AdvertisedAddress_ != Ipv4())
    Stream << "advertise = \"" << Source.AdvertisedAddress_.text() << "\"\n";
  for (const SharedKey &Key : Source.Keys_)
    Stream << "\n[[keys]]\nid = " << unsigned{Key.Id_} << "\nsecret = \""
           << toHex(Key.Secret_) << "\"\n";
  for (const Neighbour &Listed : Source.Neighbours_)
    Stream << "\n[[neighbours]]\nname = \"" << Listed.Name_.value()
           << "\"\naddress = \"" << Listed.Address_.text() << "\"\n";
  Stream << "\n[ports]\n";
  for (const NamedPort &Named : PortKeys)
    Stream << Named.Key_ << " = " << Source.Ports_.*Named.Port_ << "\n";
  Stream << "\n[flow]\nflows = " << Source.Flow_.MaxFlows_
         << "\nidle_ms = " << Source.Flow_.IdleTimeout_.count()
         << "\nreplication_bytes = " << Source.Flow_.ReplicationBytesPerSecond_
         << "\n";
  Stream << "\n[requests]\nledger_keys = " << Source.Requests_.MaxLedgerKeys_
         << "\nhorizon_ms = " << Source.Requests_.Horizon_.count() << "\n";
  Stream << "\n[membership]\nheartbeat_ms = "
         << Source.Membership_.HeartbeatPeriod_.count()
         << "\nlease_ms = " << Source.Membership_.Lease_.count()
         << "\nlist_period_ms = " << Source.Membership_.ListPeriod_.count()
         << "\n";
  return Stream.str();
}

} // namespace medlarmoor::config
