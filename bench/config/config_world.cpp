#include <bench/config/config_world.hpp>

#include <harness/json_http.hpp>
#include <harness/wait.hpp>
#include <medlarmoor/config/parts.hpp>
#include <medlarmoor/config/read_environment.hpp>
#include <medlarmoor/core/clock.hpp>
#include <medlarmoor/net/http_client.hpp>
#include <medlarmoor/platform/publish.hpp>

#include <algorithm>
#include <sstream>

namespace medlarmoor::bench {

using harness::callJson;
using nlohmann::json;

namespace {

constexpr Millis Patience = Seconds(20);
constexpr Millis CommandLimit = Seconds(40);
constexpr std::size_t NeighboursKnown = 2;
constexpr std::uint32_t ThinFlows = 1000;
constexpr std::uint32_t ThinKeys = 100;
/// An entry of the list of instances in an answer, in bytes.
constexpr double ListedBytes = 90;
constexpr double ExchangeBytes = 800;

} // namespace

ConfigWorld::ConfigWorld(std::uint64_t Seed, bool Proxied)
    : Cluster_([&] {
        harness::ClusterOptions Out;
        Out.Seed_ = Seed;
        Out.Proxied_ = Proxied;
        Out.Adjust_ = [this, Proxied](config::Settings &Each) {
          Each.ListenersEnabled_ = false;
          Each.Flow_.MaxFlows_ = ThinFlows;
          Each.Requests_.MaxLedgerKeys_ = ThinKeys;
          if (!Proxied)
            addNeighbours(Each);
        };
        return Out;
      }()) {}

void ConfigWorld::addNeighbours(config::Settings &Each) const {
  for (const std::string &Name : Names_) {
    const config::Settings &Other = Cluster_.settings(Name);
    if (Other.Domain_ == Each.Domain_ &&
        Each.Neighbours_.size() < NeighboursKnown)
      Each.Neighbours_.push_back({Other.Name_, Other.Address_});
  }
}

bool ConfigWorld::start(std::size_t Domains, std::size_t Count) {
  if (!Cluster_.start()) {
    Reason_ = Cluster_.lastReason();
    return false;
  }
  for (std::size_t Domain = 0; Domain < Domains; ++Domain)
    for (std::size_t I = 1; I <= Count; ++I)
      if (!startEntry(static_cast<std::uint8_t>(I),
                      static_cast<std::uint8_t>(Domain)))
        return false;
  const auto First = accept(Cluster_.document());
  if (!First || !inForce(*First, Seconds(20))) {
    Cluster_.folder().keep();
    Reason_ = "the first document is not in force everywhere, see " +
              Cluster_.folder().path().string();
    return false;
  }
  return true;
}

bool ConfigWorld::startEntry(std::uint8_t Number, std::uint8_t Domain) {
  if (!Cluster_.startEntry(Number, Domain)) {
    Reason_ = Cluster_.lastReason();
    return false;
  }
  const std::string Domains =
      Cluster_.document().Domains_.at(Domain).Name_.value();
  const std::string Name = Domains + "-" + std::to_string(Number);
  if (std::find(Names_.begin(), Names_.end(), Name) == Names_.end())
    Names_.push_back(Name);
  return true;
}

std::optional<Acceptance> ConfigWorld::change() {
  config::Environment Next = Cluster_.document();
  Next.Services_.front().Upstreams_.front().Slots_ = ++Mark_;
  Cluster_.document() = Next;
  return accept(Next);
}

std::optional<Acceptance>
ConfigWorld::accept(const config::Environment &Document) {
  const auto Result =
      platform::publish(platformApi(), Document.Name_,
                        {config::splitParts(Document), std::nullopt,
                         std::nullopt, "bench-" + std::to_string(++Mark_)},
                        Patience);
  const auto *Done = std::get_if<config::Published>(&Result);
  if (!Done) {
    Reason_ = "a document was not accepted";
    return std::nullopt;
  }
  expect(Done->Version_.value(), Document);
  return Acceptance{Done->Version_.value(), Clock().wallNow() - Delay_};
}

int ConfigWorld::apply(const std::string &Name,
                       const config::Environment &Document,
                       std::uint64_t Seen) {
  const std::string File = Cluster_.folder().write(
      Name + ".toml", config::writeEnvironment(Document));
  harness::Process Command =
      harness::Process::start("medlarmoorctl",
                              {"apply", File, "--seen=" + std::to_string(Seen),
                               "--platform=" + platformApi().text()},
                              Cluster_.folder().path() / (Name + ".log"));
  return Command.wait(CommandLimit).value_or(-1);
}

std::uint64_t ConfigWorld::acceptedNow() {
  const json Read =
      callJson(platformApi(), "GET", "/v1/objects/manifest/" + environment())
          .value_or(json::object());
  return Read.contains("value")
             ? Read["value"].value("version", std::uint64_t{0})
             : 0;
}

std::string ConfigWorld::environment() { return Cluster_.document().Name_; }

void ConfigWorld::expect(std::uint64_t Version,
                         const config::Environment &Document) {
  const std::lock_guard Guard(Lock_);
  Digests_[Version].insert(config::digestOf(config::splitParts(Document)));
}

std::vector<Adoption> ConfigWorld::adoptions(const std::string &Entry) {
  return readAdoptions(Cluster_.folder().path() / (Entry + ".log"));
}

std::optional<Millis>
ConfigWorld::inForce(const Acceptance &Change, Millis Limit,
                     const std::vector<std::string> &Entries) {
  Millis Slowest{0};
  const auto Reached = [&](const std::string &Name) {
    for (const Adoption &Each : adoptions(Name))
      if (Each.Version_ >= Change.Version_) {
        Slowest = std::max(
            Slowest, std::chrono::duration_cast<Millis>(Each.At_ - Change.At_));
        return true;
      }
    return false;
  };
  std::vector<std::string> Left = Entries.empty() ? Names_ : Entries;
  const bool All = harness::waitUntil(
      [&] {
        std::erase_if(Left, Reached);
        return Left.empty();
      },
      Limit);
  return All ? std::optional(Slowest) : std::nullopt;
}

std::optional<Millis> ConfigWorld::inForceSince(WallTime Begin,
                                                const std::string &Entry,
                                                Millis Limit) {
  std::optional<Millis> Out;
  const bool Reached = harness::waitUntil(
      [&] {
        for (const Adoption &Each : adoptions(Entry))
          if (Each.At_ >= Begin && Each.Version_ == newest())
            Out = std::chrono::duration_cast<Millis>(Each.At_ - Begin);
        return Out.has_value();
      },
      Limit);
  return Reached ? Out : std::nullopt;
}

std::uint64_t ConfigWorld::reverts() {
  std::uint64_t Out = 0;
  for (const std::string &Name : Names_) {
    std::uint64_t Last = 0;
    for (const Adoption &Each : adoptions(Name)) {
      Out += Each.Version_ < Last ? 1 : 0;
      Last = Each.Version_;
    }
  }
  return Out;
}

std::uint64_t ConfigWorld::halfApplied() {
  std::uint64_t Out = 0;
  for (const std::string &Name : Names_)
    for (const Adoption &Each : adoptions(Name)) {
      const auto Expected = Digests_.find(Each.Version_);
      const bool Whole = Expected != Digests_.end() &&
                         Expected->second.count(Each.Digest_) != 0;
      Out += Whole ? 0 : 1;
    }
  return Out;
}

void ConfigWorld::platform(const json &Faults) {
  Delay_ = Millis(Faults.value("delayMs", Delay_.count()));
  (void)callJson(Cluster_.addresses().platformHarness(), "POST", "/control",
                 Faults);
}

json ConfigWorld::counters() const {
  return callJson(Cluster_.addresses().platformHarness(), "GET", "/counters")
      .value_or(json::object());
}

double ConfigWorld::metric(const std::string &Entry,
                           const std::string &Name) const {
  const config::Settings &Of = Cluster_.settings(Entry);
  std::string Reason;
  const auto Page =
      net::httpCall({Of.Address_, Of.Ports_.Admin_},
                    {"GET", "/metrics", {}, {}, {}}, Seconds(2), Reason);
  double Out = 0;
  std::istringstream Lines(Page ? Page->Body_ : "");
  for (std::string Line; std::getline(Lines, Line);) {
    const std::size_t End = Line.find_first_of("{ ");
    if (Line.substr(0, End) == Name)
      Out += std::stod(Line.substr(Line.rfind(' ') + 1));
  }
  return Out;
}

double ConfigWorld::controlBytes(const std::string &Entry) const {
  const std::size_t Listed =
      std::count_if(Names_.begin(), Names_.end(), [&](const auto &Name) {
        return Cluster_.settings(Name).Domain_ ==
               Cluster_.settings(Entry).Domain_;
      });
  return metric(Entry, "medlarmoor_control_bytes_sent_total") +
         metric(Entry, "medlarmoor_control_bytes_received_total") +
         metric(Entry, "medlarmoor_platform_bytes_total") +
         metric(Entry, "medlarmoor_membership_list_reads_total") *
             (ExchangeBytes + ListedBytes * static_cast<double>(Listed));
}

void ConfigWorld::cut(const std::vector<std::string> &Entries) {
  for (const std::string &Each : Entries)
    (void)callJson(
        Cluster_.addresses().proxyHarness(), "PUT", "/rules/" + Each,
        {{"action", "cut"},
         {"source", Cluster_.settings(Each).Address_.text()},
         {"destination",
          Cluster_.addresses().platformApiBehind().address().text()}});
}

void ConfigWorld::heal() {
  (void)callJson(Cluster_.addresses().proxyHarness(), "DELETE", "/rules");
}

std::vector<std::string> ConfigWorld::entriesOf(std::size_t Domain) {
  const DomainName Wanted = Cluster_.document().Domains_.at(Domain).Name_;
  std::vector<std::string> Out;
  for (const std::string &Name : Names_)
    if (Cluster_.settings(Name).Domain_ == Wanted)
      Out.push_back(Name);
  return Out;
}

Endpoint ConfigWorld::platformApi() const {
  return Cluster_.addresses().platformApiBehind();
}

} // namespace medlarmoor::bench
