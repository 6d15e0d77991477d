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

constexpr std::size_t ShortestSecret = 16;
constexpr std::int64_t GreatestPort = 65535;
constexpr std::int64_t GreatestKeyId = 255;
constexpr std::int64_t GreatestCount = 100'000'000;

std::optional<std::vector<std::byte>> fromHex(std::string_view Text) {
  if (Text.size() % 2 != 0)
    return std::nullopt;
  std::vector<std::byte> Out;
  for (std::size_t I = 0; I < Text.size(); I += 2) {
    const char *First = Text.data() + I;
    unsigned Value = 0;
    const auto [End, Error] = std::from_chars(First, First + 2, Value, 16);
    if (Error != std::errc() || End != First + 2)
      return std::nullopt;
    Out.push_back(static_cast<std::byte>(Value));
  }
  return Out;
}

std::string toHex(const std::vector<std::byte> &Bytes) {
  constexpr std::string_view Digits = "0123456789abcdef";
  std::string Out;
  for (const std::byte Each : Bytes) {
    Out += Digits[std::to_integer<unsigned>(Each) >> 4U];
    Out += Digits[std::to_integer<unsigned>(Each) & 15U];
  }
  return Out;
}

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

void readPorts(TableReader In, Ports &Out) {
  std::set<std::uint16_t> Seen;
  for (const NamedPort &Each : PortKeys) {
    In.whole(Each.Key_, Out.*Each.Port_, 1, GreatestPort);
    if (!Seen.insert(Out.*Each.Port_).second)
      In.report(Each.Key_,
                "port " + std::to_string(Out.*Each.Port_) + " is used twice");
  }
  In.finish();
}

SharedKey readKey(TableReader In) {
  SharedKey Out;
  std::string Secret;
  In.whole("id", Out.Id_, 0, GreatestKeyId);
  In.text("secret", Secret, Presence::Required);
  const auto Bytes = fromHex(Secret);
  if (!Bytes)
    In.report("secret", "'secret' is not hexadecimal");
  else if (Bytes->size() < ShortestSecret && !Secret.empty())
    In.report("secret", "'secret' is short", "at least 32 hexadecimal digits");
  else if (Secret.empty())
    In.report("secret", "'secret' is empty", "at least 32 hexadecimal digits");
  else
    Out.Secret_ = *Bytes;
  In.finish();
  return Out;
}

void readFlow(TableReader In, FlowSettings &Out) {
  In.whole("flows", Out.Flows_, 1, GreatestCount);
  In.duration("idle_ms", Out.Idle_);
  In.whole("replication_bytes", Out.ReplicationBytes_, 0, GreatestCount);
  In.finish();
}

void readRequests(TableReader In, RequestSettings &Out) {
  In.whole("ledger_keys", Out.LedgerKeys_, 1, GreatestCount);
  In.duration("horizon_ms", Out.Horizon_);
  In.finish();
}

void readMembership(TableReader In, MembershipSettings &Out) {
  In.duration("heartbeat_ms", Out.Heartbeat_);
  In.duration("lease_ms", Out.Lease_);
  In.duration("list_period_ms", Out.ListPeriod_);
  if (Out.Lease_ < 2 * Out.Heartbeat_)
    In.report("lease_ms", "'lease_ms' is shorter than two heartbeats",
              "one lost heartbeat would end the lease");
  In.finish();
}

void readNeighbours(TableReader &In, const std::string &File, Settings &Out,
                    Findings &Found) {
  for (const toml::table *Each : In.tables("neighbours", Presence::Optional)) {
    TableReader Entry(*Each, "neighbour", File, Found);
    Neighbour Read;
    Entry.name("name", Read.Name_);
    Entry.address("address", Read.Address_);
    Entry.finish();
    Out.Neighbours_.push_back(Read);
  }
}

void readKeys(TableReader &In, const std::string &File, Settings &Out,
              Findings &Found) {
  std::set<std::uint8_t> Ids;
  for (const toml::table *Each : In.tables("keys", Presence::Required)) {
    TableReader Key(*Each, "key", File, Found);
    Out.Keys_.push_back(readKey(Key));
    if (!Ids.insert(Out.Keys_.back().Id_).second)
      Key.report("id", "two keys have the id " +
                           std::to_string(Out.Keys_.back().Id_));
  }
}

} // namespace

std::optional<Settings> readSettings(std::string_view Text,
                                     const std::string &File, Findings &Out) {
  const std::size_t Before = Out.items().size();
  const std::optional<toml::table> Root = internal::parseToml(Text, File, Out);
  if (!Root)
    return std::nullopt;
  Settings Read;
  TableReader In(*Root, "settings", File, Out);
  In.name("name", Read.Name_);
  In.name("domain", Read.Domain_);
  In.address("address", Read.Address_);
  Read.Advertise_ = Read.Address_;
  In.address("advertise", Read.Advertise_, Presence::Optional);
  In.endpoint("platform", Read.Platform_);
  In.name("environment", Read.Environment_);
  In.flag("doors", Read.Doors_);
  In.logLevel(Read.LogLevel_);
  readKeys(In, File, Read, Out);
  readNeighbours(In, File, Read, Out);
  if (const toml::table *Table = In.table("ports"))
    readPorts({*Table, "ports", File, Out}, Read.Ports_);
  if (const toml::table *Table = In.table("flow"))
    readFlow({*Table, "flow", File, Out}, Read.Flow_);
  if (const toml::table *Table = In.table("requests"))
    readRequests({*Table, "requests", File, Out}, Read.Requests_);
  if (const toml::table *Table = In.table("membership"))
    readMembership({*Table, "membership", File, Out}, Read.Membership_);
  In.finish();
  if (Out.items().size() != Before)
    return std::nullopt;
  return Read;
}

std::optional<Settings> readSettingsFile(const std::string &File,
                                         Findings &Out) {
  const std::optional<std::string> Text = internal::readFile(File, Out);
  if (!Text)
    return std::nullopt;
  return readSettings(*Text, File, Out);
}

std::string writeSettings(const Settings &Each) {
  std::ostringstream Out;
  Out << "name = \"" << Each.Name_.value() << "\"\n"
      << "domain = \"" << Each.Domain_.value() << "\"\n"
      << "address = \"" << Each.Address_.text() << "\"\n"
      << "platform = \"" << Each.Platform_.text() << "\"\n"
      << "environment = \"" << Each.Environment_ << "\"\n"
      << "doors = " << (Each.Doors_ ? "true" : "false") << "\n"
      << "log_level = \"" << Each.LogLevel_ << "\"\n";
  if (Each.Advertise_ != Ipv4())
    Out << "advertise = \"" << Each.Advertise_.text() << "\"\n";
  for (const SharedKey &Key : Each.Keys_)
    Out << "\n[[keys]]\nid = " << unsigned{Key.Id_} << "\nsecret = \""
        << toHex(Key.Secret_) << "\"\n";
  for (const Neighbour &Other : Each.Neighbours_)
    Out << "\n[[neighbours]]\nname = \"" << Other.Name_.value()
        << "\"\naddress = \"" << Other.Address_.text() << "\"\n";
  Out << "\n[ports]\n";
  for (const NamedPort &Port : PortKeys)
    Out << Port.Key_ << " = " << Each.Ports_.*Port.Port_ << "\n";
  Out << "\n[flow]\nflows = " << Each.Flow_.Flows_
      << "\nidle_ms = " << Each.Flow_.Idle_.count()
      << "\nreplication_bytes = " << Each.Flow_.ReplicationBytes_ << "\n";
  Out << "\n[requests]\nledger_keys = " << Each.Requests_.LedgerKeys_
      << "\nhorizon_ms = " << Each.Requests_.Horizon_.count() << "\n";
  Out << "\n[membership]\nheartbeat_ms = "
      << Each.Membership_.Heartbeat_.count()
      << "\nlease_ms = " << Each.Membership_.Lease_.count()
      << "\nlist_period_ms = " << Each.Membership_.ListPeriod_.count() << "\n";
  return Out.str();
}

} // namespace medlarmoor::config
