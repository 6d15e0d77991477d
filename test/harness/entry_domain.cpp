#include <harness/entry_domain.hpp>

#include <medlarmoor/config/read_settings.hpp>
#include <medlarmoor/net/http_client.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <sstream>

namespace medlarmoor::harness {

using nlohmann::json;

namespace {

constexpr std::uint16_t ApiPort = 7400;
constexpr std::uint16_t HarnessPort = 7401;
constexpr std::uint8_t PlatformThird = 0;
constexpr std::uint8_t EntryThird = 1;
constexpr std::size_t KeyBytes = 32;

std::string nameOf(int I) { return "seeb-" + std::to_string(I); }

} // namespace

EntryDomain::EntryDomain()
    : Api_(Subnet_->address(PlatformThird, 1), ApiPort),
      Harness_(Subnet_->address(PlatformThird, 1), HarnessPort),
      Platform_(Process::start(
          "standin-platform",
          {"--api=" + Api_.text(), "--harness=" + Harness_.text()},
          Folder_.path() / "platform.log")) {
  (void)Platform_.waitHealthy(Harness_);
}

config::Settings EntryDomain::settings(int I) const {
  config::Settings Out;
  Out.Name_ = EntryName(nameOf(I));
  Out.Domain_ = DomainName("seeb");
  Out.Address_ = address(I);
  Out.Platform_ = Api_;
  Out.Environment_ = "muscat-trial";
  Out.ListenersEnabled_ = false;
  Out.Keys_ = {{1, std::vector<std::byte>(KeyBytes, std::byte{7})}};
  return Out;
}

Ipv4 EntryDomain::address(int I) const {
  return Subnet_->address(EntryThird, static_cast<std::uint8_t>(I));
}

void EntryDomain::list(int I) const {
  const json Body{
      {"domain", "seeb"}, {"address", address(I).text()}, {"state", "live"}};
  net::HttpRequest Request;
  Request.Method_ = "PUT";
  Request.Target_ = "/instances/" + nameOf(I);
  Request.Body_ = Body.dump();
  std::string Reason;
  (void)net::httpCall(Harness_, std::move(Request), Seconds(3), Reason);
}

Process EntryDomain::start(int I) const {
  const std::string File =
      Folder_.write(nameOf(I) + ".toml", config::writeSettings(settings(I)));
  return Process::start("medlarmoord", {"--settings=" + File},
                        Folder_.path() / (nameOf(I) + ".log"));
}

std::optional<net::HttpResponse>
EntryDomain::get(int I, const std::string &Target) const {
  net::HttpRequest Request;
  Request.Target_ = Target;
  std::string Reason;
  return net::httpCall({address(I), settings(I).Ports_.Admin_},
                       std::move(Request), Seconds(1), Reason);
}

std::optional<double> EntryDomain::metric(int I,
                                          const std::string &Name) const {
  const auto Answer = get(I, "/metrics");
  if (!Answer)
    return std::nullopt;
  std::istringstream Lines(Answer->Body_);
  std::string Word;
  double Value = 0;
  for (std::string Line; std::getline(Lines, Line);) {
    std::istringstream Fields(Line);
    if (Fields >> Word >> Value && Word == Name)
      return Value;
  }
  return std::nullopt;
}

std::vector<std::string> EntryDomain::live(int I) const {
  std::vector<std::string> Out;
  const auto Answer = get(I, "/status");
  if (!Answer)
    return Out;
  const json Status = json::parse(Answer->Body_, nullptr, false);
  if (!Status.is_object())
    return Out;
  for (const json &Each : Status["members"])
    if (Each["state"] == "live")
      Out.push_back(Each["name"]);
  return Out;
}

bool EntryDomain::agree(const std::vector<int> &Who) const {
  return std::all_of(Who.begin(), Who.end(), [&](int I) {
    const std::vector<std::string> Seen = live(I);
    return Seen.size() == Who.size() &&
           std::all_of(Who.begin(), Who.end(), [&](int J) {
             return std::count(Seen.begin(), Seen.end(), nameOf(J)) == 1;
           });
  });
}

} // namespace medlarmoor::harness
