#include <medlarmoor/config/internal_toml.hpp>
#include <medlarmoor/config/read_environment.hpp>

#include <algorithm>
#include <map>

namespace medlarmoor::config {

using internal::Presence;
using internal::TableReader;

namespace {

constexpr double LeastWeight = 0.001;
constexpr double GreatestWeight = 1000;
constexpr double LeastEpsilon = 0.01;
constexpr double GreatestEpsilon = 10;
constexpr double GreatestQueue = 1000;
constexpr std::int64_t GreatestSlots = 65536;
constexpr std::int64_t GreatestConnections = 10'000'000;
constexpr std::int64_t GreatestBody = 64LL * 1024 * 1024;

/// Reads one document and remembers where each name and address first stood.
class Reader {
public:
  Reader(const std::string &File, Findings &Out) : File_(File), Out_(Out) {}

  Environment read(const toml::table &Root) {
    Environment Read;
    TableReader In(Root, "document", File_, Out_);
    In.name("name", Read.Name_);
    for (const toml::table *Each : In.tables("domain", Presence::Required))
      Read.Domains_.push_back(readDomain(*Each));
    for (const toml::table *Each : In.tables("service", Presence::Required))
      Read.Services_.push_back(readService(*Each));
    In.finish();
    return Read;
  }

private:
  using Places = std::map<std::string, Place>;

  /// Reports Value when it was seen before; What names its kind.
  void unique(Places &Seen, const std::string &Value, const Place &Where,
              const char *What) {
    if (Value.empty())
      return;
    const auto [At, New] = Seen.try_emplace(Value, Where);
    if (!New)
      Out_.add(Where, std::string("duplicate ") + What + " '" + Value + "'",
               "first at line " + std::to_string(At->second.Line_));
  }

  template <typename Tag>
  void readName(TableReader &In, Strong<std::string, Tag> &Out, Places &Seen,
                const char *What) {
    std::string Value;
    In.name("name", Value);
    unique(Seen, Value, In.place("name"), What);
    Out = Strong<std::string, Tag>(Value);
  }

  FailureDomain readDomain(const toml::table &Table) {
    FailureDomain Out;
    TableReader In(Table, "domain", File_, Out_);
    readName(In, Out.Name_, Domains_, "domain");
    std::string Region;
    In.name("region", Region);
    Out.Region_ = RegionName(Region);
    In.finish();
    return Out;
  }

  Service readService(const toml::table &Table) {
    Service Out;
    TableReader In(Table, "service", File_, Out_);
    readName(In, Out.Name_, Services_, "service");
    In.endpoints("addresses", Out.Addresses_);
    for (const Endpoint &Each : Out.Addresses_)
      unique(Addresses_, Each.text(), In.place("addresses"), "address");
    if (const toml::table *Policy = In.table("policy"))
      Out.Policy_ = readPolicy(*Policy);
    const auto Upstreams = In.tables("upstream", Presence::Optional);
    if (Upstreams.empty())
      In.report("name", "service '" + Out.Name_.value() + "' has no upstreams",
                "add [[service.upstream]]");
    for (const toml::table *Each : Upstreams)
      Out.Upstreams_.push_back(readUpstream(*Each));
    In.finish();
    return Out;
  }

  ServicePolicy readPolicy(const toml::table &Table) {
    ServicePolicy Out;
    TableReader In(Table, "policy", File_, Out_);
    In.number("epsilon", Out.Epsilon_, LeastEpsilon, GreatestEpsilon);
    In.duration("longest_deadline_ms", Out.LongestDeadline_);
    In.whole("body_bytes", Out.BodyBytes_, 0, GreatestBody);
    In.number("queue_per_slot", Out.QueuePerSlot_, 0, GreatestQueue);
    In.number("retry_budget", Out.RetryBudget_, 0, 1);
    In.finish();
    return Out;
  }

  Upstream readUpstream(const toml::table &Table) {
    Upstream Out;
    TableReader In(Table, "upstream", File_, Out_);
    readName(In, Out.Name_, Upstreams_, "upstream");
    readPlace(In, Out);
    In.endpoint("packets", Out.Packets_);
    In.endpoint("requests", Out.Requests_);
    if (Out.Packets_.port() != 0)
      unique(PacketEndpoints_, Out.Packets_.text(), In.place("packets"),
             "address");
    if (Out.Requests_.port() != 0)
      unique(RequestEndpoints_, Out.Requests_.text(), In.place("requests"),
             "address");
    In.whole("slots", Out.Slots_, 1, GreatestSlots);
    In.whole("connections", Out.Connections_, 1, GreatestConnections);
    In.number("weight", Out.Weight_, LeastWeight, GreatestWeight);
    In.flag("drain", Out.Drain_);
    In.finish();
    return Out;
  }

  void readPlace(TableReader &In, Upstream &Out) {
    std::string Domain;
    In.name("domain", Domain);
    Out.Domain_ = DomainName(Domain);
    if (Domain.empty() || Domains_.count(Domain) != 0)
      return;
    std::vector<std::string> Known;
    for (const auto &[Name, Where] : Domains_)
      Known.push_back(Name);
    const std::string Near = internal::nearest(Domain, Known);
    In.report("domain", "unknown domain '" + Domain + "'",
              Near.empty() ? "add it as [[domain]]"
                           : "did you mean '" + Near + "'?");
  }

  const std::string &File_;
  Findings &Out_;
  Places Domains_;
  Places Services_;
  Places Upstreams_;
  Places Addresses_;
  Places PacketEndpoints_;
  Places RequestEndpoints_;
};

} // namespace

std::optional<Environment>
readEnvironment(std::string_view Text, const std::string &File, Findings &Out) {
  const std::size_t Before = Out.items().size();
  const std::optional<toml::table> Root = internal::parseToml(Text, File, Out);
  if (!Root)
    return std::nullopt;
  Environment Read = Reader(File, Out).read(*Root);
  if (Out.items().size() != Before)
    return std::nullopt;
  return Read;
}

std::optional<Environment> readEnvironmentFile(const std::string &File,
                                               Findings &Out) {
  const std::optional<std::string> Text = internal::readFile(File, Out);
  if (!Text)
    return std::nullopt;
  return readEnvironment(*Text, File, Out);
}

} // namespace medlarmoor::config
