#include <harness/cluster.hpp>

#include <harness/json_http.hpp>
#include <harness/upstream_server.hpp>
#include <harness/wait.hpp>
#include <medlarmoor/config/read_environment.hpp>
#include <medlarmoor/config/read_settings.hpp>
#include <medlarmoor/net/http_client.hpp>

#include <algorithm>
#include <csignal>
#include <cstddef>

namespace medlarmoor::harness {

using nlohmann::json;

namespace {

constexpr Millis RetireLimit = Seconds(20);
constexpr Millis AskTimeout{500};
constexpr Millis ControlLimit = Seconds(30);
constexpr std::size_t SecretBytes = 32;

std::vector<std::byte> secretOf(std::uint64_t Seed) {
  return std::vector<std::byte>(SecretBytes, static_cast<std::byte>(Seed + 1));
}

} // namespace

Cluster::Cluster(ClusterOptions Options)
    : Options_(std::move(Options)), Subnet_(Subnet::acquire().value()),
      Addresses_(Subnet_, Options_.Proxied_) {}

Cluster::~Cluster() = default;

bool Cluster::failed(std::string Why) {
  Reason_ = std::move(Why);
  return false;
}

std::string Cluster::logPath(const std::string &Name) const {
  return Folder_.path() / (Name + ".log");
}

bool Cluster::start() {
  return loadDocument() && startPlatform() && startProxy() &&
         startUpstreams() && startFabricAndCaller();
}

bool Cluster::loadDocument() {
  Findings Found;
  const std::string File =
      std::string(MEDLARMOOR_SOURCE_DIR) + "/examples/" + Options_.Document_;
  const auto Read = config::readEnvironmentFile(File, Found);
  if (!Read)
    return failed(Found.text());
  Document_ = *Read;
  for (config::Service &Service : Document_.Services_)
    for (config::Upstream &Each : Service.Upstreams_) {
      const Ipv4 Place = Each.Packets_.address();
      UpstreamPlaces_[Each.Name_.value()] = Place;
      Each.Packets_ = {Addresses_.shown(Place), UpstreamPacketPort};
      Each.Requests_ = {Addresses_.shown(Place), UpstreamRequestPort};
    }
  return true;
}

bool Cluster::launch(Process &Into, const std::string &Program,
                     const std::vector<std::string> &Arguments, Endpoint Health,
                     const std::string &Name) {
  Into = Process::start(Program, Arguments, logPath(Name));
  if (Into.waitHealthy(Health))
    return true;
  return failed(Name + " did not start: " + Into.log());
}

bool Cluster::startPlatform() {
  return launch(Platform_, "standin-platform",
                {"--api=" + Addresses_.platformApiBehind().text(),
                 "--harness=" + Addresses_.platformHarness().text()},
                Addresses_.platformHarness(), "platform");
}

bool Cluster::startProxy() {
  if (!Options_.Proxied_)
    return true;
  return launch(Proxy_, "standin-fault-proxy",
                {"--harness=" + Addresses_.proxyHarness().text(),
                 "--seed=" + std::to_string(Options_.Seed_)},
                Addresses_.proxyHarness(), "fault-proxy") &&
         proxyInstance(ClusterAddresses::platform(),
                       {{"platform", ClusterAddresses::PlatformPort}},
                       json::object());
}

bool Cluster::proxyInstance(Ipv4 Place, const json &Tcp, const json &Udp) {
  if (!Options_.Proxied_ || !ProxiedPlaces_.insert(Place).second)
    return true;
  const json Instance{{"listen", Addresses_.shown(Place).text()},
                      {"target", Addresses_.real(Place).text()},
                      {"tcp", Tcp},
                      {"udp", Udp}};
  if (callJson(Addresses_.proxyHarness(), "POST", "/instances", Instance))
    return true;
  return failed("fault proxy refused " + Instance.dump());
}

bool Cluster::startUpstreams() {
  for (const config::Service &Service : Document_.Services_) {
    std::string Names;
    std::string Addresses;
    Endpoint First;
    for (const Endpoint &Each : Service.Addresses_)
      Addresses += Each.text() + ",";
    for (const config::Upstream &Each : Service.Upstreams_) {
      const Ipv4 Place = UpstreamPlaces_[Each.Name_.value()];
      First = {Addresses_.real(Place), UpstreamHarnessPort};
      Names += Each.Name_.value() + "@" + First.address().text() + ",";
      if (!proxyInstance(Place, {{"upstream-requests", UpstreamRequestPort}},
                         {{"upstream-packets", UpstreamPacketPort}}))
        return false;
    }
    Upstreams_.emplace_back();
    const std::uint64_t Seed = Options_.Seed_ * 1000 + Upstreams_.size() * 100;
    if (!launch(Upstreams_.back(), "standin-upstream",
                {"--upstreams=" + Names, "--service=" + Addresses,
                 "--seed=" + std::to_string(Seed)},
                First, Service.Name_.value()))
      return false;
  }
  return true;
}

bool Cluster::startFabricAndCaller() {
  const std::string Seed = "--seed=" + std::to_string(Options_.Seed_);
  return launch(Fabric_, "standin-fabric",
                {"--packets=" + Addresses_.fabricPackets().text(),
                 "--harness=" + Addresses_.fabricHarness().text(), Seed},
                Addresses_.fabricHarness(), "fabric") &&
         launch(Caller_, "standin-caller",
                {"--address=" + Addresses_.caller(1).text(),
                 "--fabric=" + Addresses_.fabricPackets().text(),
                 "--harness=" + callerHarness().text(), Seed},
                callerHarness(), "caller");
}

config::Settings Cluster::entrySettings(std::uint8_t Number,
                                        std::uint8_t Domain) const {
  config::Settings Out;
  Out.Domain_ = Document_.Domains_.at(Domain).Name_;
  Out.Name_ = EntryName(Out.Domain_.value() + "-" + std::to_string(Number));
  Out.Address_ = Addresses_.real(ClusterAddresses::entry(Domain, Number));
  Out.AdvertisedAddress_ =
      Addresses_.shown(ClusterAddresses::entry(Domain, Number));
  Out.Platform_ = Addresses_.platformApi();
  Out.Environment_ = Document_.Name_;
  Out.Keys_ = {{1, secretOf(Options_.Seed_)}};
  if (Options_.Adjust_)
    Options_.Adjust_(Out);
  return Out;
}

bool Cluster::list(const Entry &Each, const char *State) {
  return callJson(Addresses_.platformHarness(), "PUT",
                  "/instances/" + Each.Settings_.Name_.value(),
                  {{"domain", Each.Settings_.Domain_.value()},
                   {"address", Each.Shown_.text()},
                   {"state", State}})
      .has_value();
}

bool Cluster::startEntry(std::uint8_t Number, std::uint8_t Domain) {
  Entry New;
  New.Settings_ = entrySettings(Number, Domain);
  const config::Ports &Ports = New.Settings_.Ports_;
  const Ipv4 Place = ClusterAddresses::entry(Domain, Number);
  New.Shown_ = Addresses_.shown(Place);
  const std::string Name = New.Settings_.Name_.value();
  if (!list(New, "live") || !proxyInstance(Place,
                                           {{"requests", Ports.Requests_},
                                            {"internal", Ports.Internal_},
                                            {"config", Ports.Config_}},
                                           {{"flow", Ports.Flow_},
                                            {"peer", Ports.Peer_},
                                            {"control", Ports.Control_}}))
    return false;
  const std::string File =
      Folder_.write(Name + ".toml", config::writeSettings(New.Settings_));
  const Endpoint Admin(New.Settings_.Address_, Ports.Admin_);
  const bool Healthy =
      launch(New.Process_, "medlarmoord", {"--settings=" + File}, Admin, Name);
  Entries_[Name] = std::move(New);
  return Healthy;
}

void Cluster::beginRetiring(const std::string &Name) {
  Entry &Which = Entries_.at(Name);
  Which.Serving_ = false;
  list(Which, "leaving");
  Which.Process_.signal(SIGTERM);
  publishEntries();
}

std::optional<int> Cluster::retireEntry(const std::string &Name) {
  beginRetiring(Name);
  const std::optional<int> Code = entry(Name).wait(RetireLimit);
  forgetEntry(Name);
  return Code;
}

void Cluster::killEntry(const std::string &Name) {
  Entries_.at(Name).Serving_ = false;
  entry(Name).kill();
}

void Cluster::serve(const std::string &Name) {
  Entries_.at(Name).Serving_ = true;
  publishEntries();
}

void Cluster::forgetEntry(const std::string &Name) {
  Entries_.erase(Name);
  (void)callJson(Addresses_.platformHarness(), "DELETE", "/instances/" + Name);
  publishEntries();
}

Process &Cluster::entry(const std::string &Name) {
  return Entries_.at(Name).Process_;
}

const config::Settings &Cluster::settings(const std::string &Name) const {
  return Entries_.at(Name).Settings_;
}

bool Cluster::isReady(const std::string &Name) const {
  const config::Settings &Of = settings(Name);
  std::string Reason;
  const auto Response =
      net::httpCall({Of.Address_, Of.Ports_.Admin_},
                    {"GET", "/readyz", {}, {}, {}}, AskTimeout, Reason);
  return Response && Response->Status_ == 200;
}

bool Cluster::waitReady(const std::string &Name, Millis Limit) {
  if (waitUntil([&] { return isReady(Name); }, Limit))
    return true;
  return failed(Name + " is not ready: " + status(Name).dump());
}

std::vector<std::string> Cluster::entryNames() const {
  std::vector<std::string> Out;
  for (const auto &[Name, Each] : Entries_)
    Out.push_back(Name);
  return Out;
}

void Cluster::publishEntries() {
  json Flow = json::array();
  json Requests = json::array();
  for (const auto &[Name, Each] : Entries_) {
    if (!Each.Serving_)
      continue;
    const config::Ports &Ports = Each.Settings_.Ports_;
    Flow.push_back(Endpoint(Each.Shown_, Ports.Flow_).text());
    Requests.push_back(Endpoint(Each.Shown_, Ports.Requests_).text());
  }
  (void)callJson(Addresses_.fabricHarness(), "PUT", "/entries",
                 {{"entries", Flow}});
  (void)callJson(callerHarness(), "POST", "/requests", {{"entries", Requests}});
}

Process Cluster::startControl(std::vector<std::string> Arguments) {
  Arguments.insert(Arguments.begin(),
                   "--platform=" + Addresses_.platformApiBehind().text());
  return Process::start(
      "medlarmoorctl", Arguments,
      logPath("medlarmoorctl-" + std::to_string(++FilesWritten_)));
}

std::string Cluster::write(const config::Environment &Each) {
  return Folder_.write("document-" + std::to_string(++FilesWritten_) + ".toml",
                       config::writeEnvironment(Each));
}

bool Cluster::apply() {
  Process Command = startControl({"apply", write(Document_)});
  if (Command.wait(ControlLimit) == 0)
    return true;
  return failed("medlarmoorctl apply: " + Command.log());
}

json Cluster::status(const std::string &Name) const {
  const config::Settings &Of = settings(Name);
  return callJson({Of.Address_, Of.Ports_.Admin_}, "GET", "/status", nullptr,
                  AskTimeout)
      .value_or(nullptr);
}

std::uint64_t Cluster::version(const std::string &Name) const {
  const json Status = status(Name);
  return Status.is_object() ? Status.value("version", std::uint64_t{0}) : 0;
}

std::uint64_t Cluster::highestVersion() const {
  std::uint64_t Out = 0;
  for (const auto &[Name, Each] : Entries_)
    Out = std::max(Out, version(Name));
  return Out;
}

std::optional<Millis> Cluster::waitInForce(std::uint64_t Version,
                                           Millis Limit) const {
  const auto Start = std::chrono::steady_clock::now();
  const bool Everywhere = waitUntil(
      [&] {
        return std::all_of(
            Entries_.begin(), Entries_.end(), [&](const auto &Each) {
              return !Each.second.Serving_ || version(Each.first) >= Version;
            });
      },
      Limit);
  if (!Everywhere)
    return std::nullopt;
  return std::chrono::duration_cast<Millis>(std::chrono::steady_clock::now() -
                                            Start);
}

std::optional<Endpoint>
Cluster::upstreamHarness(const std::string &Name) const {
  const auto Found = UpstreamPlaces_.find(Name);
  if (Found == UpstreamPlaces_.end())
    return std::nullopt;
  return Endpoint(Addresses_.real(Found->second), UpstreamHarnessPort);
}

std::vector<std::string> Cluster::upstreamNames() const {
  std::vector<std::string> Out;
  for (const auto &[Name, Place] : UpstreamPlaces_)
    Out.push_back(Name);
  return Out;
}

} // namespace medlarmoor::harness
