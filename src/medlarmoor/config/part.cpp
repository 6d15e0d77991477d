#include <medlarmoor/config/internal_json.hpp>
#include <medlarmoor/config/part.hpp>

#include <xxhash.h>

#include <array>
#include <charconv>
#include <cmath>
#include <cstdio>
#include <limits>

namespace medlarmoor::config {

using internal::Json;
using internal::member;
using internal::textAt;
using internal::unsignedAt;

namespace {

constexpr std::uint64_t Greatest32 = std::numeric_limits<std::uint32_t>::max();
constexpr std::uint64_t GreatestMs = 1ULL << 40U;

std::string contentHash(const std::string &Text) {
  const XXH128_hash_t Hash = XXH3_128bits(Text.data(), Text.size());
  std::array<char, 33> Out{};
  std::snprintf(Out.data(), Out.size(), "%016llx%016llx",
                static_cast<unsigned long long>(Hash.high64),
                static_cast<unsigned long long>(Hash.low64));
  return Out.data();
}

/// The three words of an id; nothing when there are not three.
struct Words {
  std::string Service_;
  std::string Domain_;
};
std::optional<Words> split(const PartId &Id) {
  const std::string &Text = Id.value();
  const std::size_t First = Text.find('.');
  const std::size_t Last = Text.rfind('.');
  if (First == std::string::npos || First == Last ||
      Text.find('.', First + 1) != Last)
    return std::nullopt;
  return Words{Text.substr(0, First), Text.substr(First + 1, Last - First - 1)};
}

/// Fractions are kept as text, so that no store can round them.
std::optional<double> fractionAt(const Json &In, const char *Key) {
  const std::optional<std::string> Text = textAt(In, Key);
  if (!Text)
    return std::nullopt;
  double Out = 0;
  const char *Last = Text->data() + Text->size();
  const auto [End, Error] = std::from_chars(Text->data(), Last, Out);
  if (Error != std::errc() || End != Last || !std::isfinite(Out) || Out < 0)
    return std::nullopt;
  return Out;
}

std::optional<Endpoint> endpointAt(const Json &In, const char *Key) {
  const std::optional<std::string> Text = textAt(In, Key);
  return Text ? Endpoint::parse(*Text) : std::nullopt;
}

std::optional<Upstream> readUpstream(const Json &In, const DomainName &Domain) {
  const auto Name = textAt(In, "name");
  const auto Packets = endpointAt(In, "packets");
  const auto Requests = endpointAt(In, "requests");
  const auto Slots = unsignedAt(In, "slots", Greatest32);
  const auto Connections = unsignedAt(In, "connections", Greatest32);
  const auto Weight = fractionAt(In, "weight");
  const Json *Drain = member(In, "drain");
  if (!Name || Name->empty() || !Packets || !Requests || !Slots ||
      !Connections || !Weight || *Weight <= 0 || !Drain || !Drain->is_boolean())
    return std::nullopt;
  return Upstream{UpstreamName(*Name),
                  Domain,
                  *Packets,
                  *Requests,
                  static_cast<std::uint32_t>(*Slots),
                  static_cast<std::uint32_t>(*Connections),
                  *Weight,
                  Drain->get<bool>()};
}

std::optional<UpstreamsPart> readUpstreams(const Json &In, const Words &About) {
  const Json *List = member(In, "upstreams");
  if (!List || !List->is_array() || List->empty())
    return std::nullopt;
  UpstreamsPart Out{ServiceName(About.Service_), DomainName(About.Domain_), {}};
  for (const Json &Each : *List) {
    std::optional<Upstream> Read = readUpstream(Each, Out.Domain_);
    if (!Read)
      return std::nullopt;
    Out.Upstreams_.push_back(std::move(*Read));
  }
  return Out;
}

std::optional<ServicePolicy> readPolicy(const Json &In) {
  const auto Epsilon = fractionAt(In, "epsilon");
  const auto Deadline = unsignedAt(In, "longest_deadline_ms", GreatestMs);
  const auto Body = unsignedAt(In, "body_bytes");
  const auto Queue = fractionAt(In, "queue_per_slot");
  const auto Budget = fractionAt(In, "retry_budget");
  if (!Epsilon || !Deadline || !Body || !Queue || !Budget)
    return std::nullopt;
  return ServicePolicy{*Epsilon, Millis(*Deadline), *Body, *Queue, *Budget};
}

std::optional<ServicePart> readService(const Json &In, const Words &About) {
  const Json *Policy = member(In, "policy");
  const auto Read = Policy ? readPolicy(*Policy) : std::nullopt;
  const Json *List = member(In, "addresses");
  if (!Read || !List || !List->is_array())
    return std::nullopt;
  ServicePart Out{ServiceName(About.Service_), {}, *Read};
  for (const Json &Each : *List) {
    const auto Address = Each.is_string()
                             ? Endpoint::parse(Each.get<std::string>())
                             : std::nullopt;
    if (!Address)
      return std::nullopt;
    Out.Addresses_.push_back(*Address);
  }
  return Out;
}

} // namespace

PartId makePartId(const std::string &Service, const std::string &Domain,
                  const std::string &Text) {
  return PartId(Service + "." + Domain + "." + contentHash(Text));
}

PartPtr readPart(const PartId &Id, std::string Text, std::string &Reason) {
  const std::optional<Words> About = split(Id);
  if (!About || About->Service_.empty() || About->Domain_.empty()) {
    Reason = "malformed part id '" + Id.value() + "'";
    return nullptr;
  }
  if (makePartId(About->Service_, About->Domain_, Text) != Id) {
    Reason = "part '" + Id.value() + "' has other contents";
    return nullptr;
  }
  Reason = "part '" + Id.value() + "' is malformed";
  const Json In = Json::parse(Text, nullptr, false);
  auto Out = std::make_shared<Part>();
  Out->Text_ = std::move(Text);
  if (About->Service_ == "_") {
    const auto Region = textAt(In, "region");
    if (!Region)
      return nullptr;
    Out->Content_ =
        FailureDomain{DomainName(About->Domain_), RegionName(*Region)};
  } else if (About->Domain_ == "_") {
    auto Read = readService(In, *About);
    if (!Read)
      return nullptr;
    Out->Content_ = std::move(*Read);
  } else {
    auto Read = readUpstreams(In, *About);
    if (!Read)
      return nullptr;
    Out->Content_ = std::move(*Read);
  }
  Reason.clear();
  return Out;
}

} // namespace medlarmoor::config
