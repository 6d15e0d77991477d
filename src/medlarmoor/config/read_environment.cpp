#include <medlarmoor/config/internal_toml.hpp>
#include <medlarmoor/config/read_environment.hpp>

#include <algorithm>
#include <map>

namespace medlarmoor::config {

using internal::Presence;
using internal::TableReader;

namespace {

constexpr double MinWeight = 0.001;
constexpr double MaxWeight = 1000;
constexpr double MinEpsilon = 0.01;
constexpr double MaxEpsilon = 10;
constexpr double MaxQueuePerSlot = 1000;
constexpr std::int64_t MaxSlots = 65536;
constexpr std::int64_t MaxConnections = 10'000'000;
constexpr std::int64_t MaxBodyBytes = 64LL * 1024 * 1024;

/// Reads one document and records the place of the first use of each name and
/// address.
class EnvironmentReader {
public:
  EnvironmentReader(const std::string &File, Findings &Errors)
      : File_(File), Errors_(Errors) {}

  Environment read(const toml::table &Root) {
    Environment Document;
    TableReader Reader(Root, "document", File_, Errors_);
    Reader.name("name", Document.Name_);
    for (const toml::table *Table : Reader.tables("domain", Presence::Required))
      Document.Domains_.push_back(readDomain(*Table));
    for (const toml::table *Table :
         Reader.tables("service", Presence::Required))
      Document.Services_.push_back(readService(*Table));
    Reader.finish();
    return Document;
  }

private:
  using Places = std::map<std::string, Place>;

  /// Reports Value if FirstUses has it already, and adds it otherwise. Kind is
  /// what findings call the value, for example "upstream".
  void checkUnique(Places &FirstUses, const std::string &Value,
                   const Place &Where, const char *Kind) {
    if (Value.empty())
      return;
    const auto [FirstUse, Added] = FirstUses.try_emplace(Value, Where);
    if (!Added)
      Errors_.add(Where, std::string("duplicate ") + Kind + " '" + Value + "'",
                  "first at line " + std::to_string(FirstUse->second.Line_));
  }

  template <typename Tag>
  void readName(TableReader &Reader, Strong<std::string, Tag> &Target,
                Places &FirstUses, const char *Kind) {
    std::string Value;
    Reader.name("name", Value);
    checkUnique(FirstUses, Value, Reader.place("name"), Kind);
    Target = Strong<std::string, Tag>(Value);
  }

  FailureDomain readDomain(const toml::table &Table) {
    FailureDomain Domain;
    TableReader Reader(Table, "domain", File_, Errors_);
    readName(Reader, Domain.Name_, Domains_, "domain");
    std::string Region;
    Reader.name("region", Region);
    Domain.Region_ = RegionName(Region);
    Reader.finish();
    return Domain;
  }

  Service readService(const toml::table &Table) {
    Service Parsed;
    TableReader Reader(Table, "service", File_, Errors_);
    readName(Reader, Parsed.Name_, Services_, "service");
    Reader.endpoints("addresses", Parsed.Addresses_);
    for (const Endpoint &Address : Parsed.Addresses_)
      checkUnique(Addresses_, Address.text(), Reader.place("addresses"),
                  "address");
    if (const toml::table *Policy = Reader.table("policy"))
      Parsed.Policy_ = readPolicy(*Policy);
    const auto Upstreams = Reader.tables("upstream", Presence::Optional);
    if (Upstreams.empty())
      Reader.report("name",
                    "service '" + Parsed.Name_.value() + "' has no upstreams",
                    "add [[service.upstream]]");
    for (const toml::table *Entry : Upstreams)
      Parsed.Upstreams_.push_back(readUpstream(*Entry));
    Reader.finish();
    return Parsed;
  }

  ServicePolicy readPolicy(const toml::table &Table) {
    ServicePolicy Policy;
    TableReader Reader(Table, "policy", File_, Errors_);
    Reader.number("epsilon", Policy.Epsilon_, MinEpsilon, MaxEpsilon);
    Reader.duration("longest_deadline_ms", Policy.LongestDeadline_);
    Reader.integerAs("body_bytes", Policy.MaxBodyBytes_, 0, MaxBodyBytes);
    Reader.number("queue_per_slot", Policy.QueuePerSlot_, 0, MaxQueuePerSlot);
    Reader.number("retry_budget", Policy.RetryBudget_, 0, 1);
    Reader.finish();
    return Policy;
  }

  Upstream readUpstream(const toml::table &Table) {
    Upstream Parsed;
    TableReader Reader(Table, "upstream", File_, Errors_);
    readName(Reader, Parsed.Name_, Upstreams_, "upstream");
    readUpstreamDomain(Reader, Parsed);
    Reader.endpoint("packets", Parsed.Packets_);
    Reader.endpoint("requests", Parsed.Requests_);
    if (Parsed.Packets_.port() != 0)
      checkUnique(PacketEndpoints_, Parsed.Packets_.text(),
                  Reader.place("packets"), "address");
    if (Parsed.Requests_.port() != 0)
      checkUnique(RequestEndpoints_, Parsed.Requests_.text(),
                  Reader.place("requests"), "address");
    Reader.integerAs("slots", Parsed.Slots_, 1, MaxSlots);
    Reader.integerAs("connections", Parsed.Connections_, 1, MaxConnections);
    Reader.number("weight", Parsed.Weight_, MinWeight, MaxWeight);
    Reader.flag("drain", Parsed.Drain_);
    Reader.finish();
    return Parsed;
  }

  void readUpstreamDomain(TableReader &Reader, Upstream &Target) {
    std::string Domain;
    Reader.name("domain", Domain);
    Target.Domain_ = DomainName(Domain);
    if (Domain.empty() || Domains_.count(Domain) != 0)
      return;
    std::vector<std::string> Known;
    for (const auto &[Name, FirstUse] : Domains_)
      Known.push_back(Name);
    const std::string Suggestion = internal::nearest(Domain, Known);
    Reader.report("domain", "unknown domain '" + Domain + "'",
                  Suggestion.empty() ? "add it as [[domain]]"
                                     : "did you mean '" + Suggestion + "'?");
  }

  const std::string &File_;
  Findings &Errors_;
  Places Domains_;
  Places Services_;
  Places Upstreams_;
  Places Addresses_;
  Places PacketEndpoints_;
  Places RequestEndpoints_;
};

} // namespace

std::optional<Environment> readEnvironment(std::string_view Text,
                                           const std::string &File,
                                           Findings &Errors) {
  const std::size_t ErrorsBefore = Errors.items().size();
  const std::optional<toml::table> Root =
      internal::parseToml(Text, File, Errors);
  if (!Root)
    return std::nullopt;
  Environment Document = EnvironmentReader(File, Errors).read(*Root);
  if (Errors.items().size() != ErrorsBefore)
    return std::nullopt;
  return Document;
}

std::optional<Environment> readEnvironmentFile(const std::string &File,
                                               Findings &Errors) {
  const std::optional<std::string> Text = internal::readFile(File, Errors);
  if (!Text)
    return std::nullopt;
  return readEnvironment(*Text, File, Errors);
}

} // namespace medlarmoor::config
