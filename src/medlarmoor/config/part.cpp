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

constexpr std::uint64_t MaxUint32 = std::numeric_limits<std::uint32_t>::max();
constexpr std::uint64_t MaxDurationMs = 1ULL << 40U;

/// Returns the hash of Text as 32 hexadecimal digits.
std::string contentHash(const std::string &Text) {
  const XXH128_hash_t Hash = XXH3_128bits(Text.data(), Text.size());
  std::array<char, 33> Digits{};
  std::snprintf(Digits.data(), Digits.size(), "%016llx%016llx",
                static_cast<unsigned long long>(Hash.high64),
                static_cast<unsigned long long>(Hash.low64));
  return Digits.data();
}

/// The service and the failure domain in a part id.
struct IdFields {
  std::string Service_;
  std::string Domain_;
};
/// Splits an id at its dots. Returns nullopt unless it has three fields.
std::optional<IdFields> splitId(const PartId &Id) {
  const std::string &Text = Id.value();
  const std::size_t First = Text.find('.');
  const std::size_t Last = Text.rfind('.');
  if (First == std::string::npos || First == Last ||
      Text.find('.', First + 1) != Last)
    return std::nullopt;
  return IdFields{Text.substr(0, First),
                  Text.substr(First + 1, Last - First - 1)};
}

/// Returns the non-negative fraction at Key, or nullopt if there is none. It is
/// stored as text so that no store can round it.
std::optional<double> fractionAt(const Json &Object, const char *Key) {
  const std::optional<std::string> Text = textAt(Object, Key);
  if (!Text)
    return std::nullopt;
  double Value = 0;
  const char *Last = Text->data() + Text->size();
  const auto [End, Error] = std::from_chars(Text->data(), Last, Value);
  if (Error != std::errc() || End != Last || !std::isfinite(Value) || Value < 0)
    return std::nullopt;
  return Value;
}

std::optional<Endpoint> endpointAt(const Json &Object, const char *Key) {
  const std::optional<std::string> Text = textAt(Object, Key);
  return Text ? Endpoint::parse(*Text) : std::nullopt;
}

std::optional<Upstream> readUpstream(const Json &Object,
                                     const DomainName &Domain) {
  const auto Name = textAt(Object, "name");
  const auto Packets = endpointAt(Object, "packets");
  const auto Requests = endpointAt(Object, "requests");
  const auto Slots = unsignedAt(Object, "slots", MaxUint32);
  const auto Connections = unsignedAt(Object, "connections", MaxUint32);
  const auto Weight = fractionAt(Object, "weight");
  const Json *Drain = member(Object, "drain");
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

std::optional<UpstreamsPart> readUpstreams(const Json &Object,
                                           const IdFields &Fields) {
  const Json *List = member(Object, "upstreams");
  if (!List || !List->is_array() || List->empty())
    return std::nullopt;
  UpstreamsPart Upstreams{
      ServiceName(Fields.Service_), DomainName(Fields.Domain_), {}};
  for (const Json &Element : *List) {
    std::optional<Upstream> Parsed = readUpstream(Element, Upstreams.Domain_);
    if (!Parsed)
      return std::nullopt;
    Upstreams.Upstreams_.push_back(std::move(*Parsed));
  }
  return Upstreams;
}

std::optional<ServicePolicy> readPolicy(const Json &Object) {
  const auto Epsilon = fractionAt(Object, "epsilon");
  const auto Deadline =
      unsignedAt(Object, "longest_deadline_ms", MaxDurationMs);
  const auto Body = unsignedAt(Object, "body_bytes");
  const auto Queue = fractionAt(Object, "queue_per_slot");
  const auto Budget = fractionAt(Object, "retry_budget");
  if (!Epsilon || !Deadline || !Body || !Queue || !Budget)
    return std::nullopt;
  return ServicePolicy{*Epsilon, Millis(*Deadline), *Body, *Queue, *Budget};
}

std::optional<ServicePart> readService(const Json &Object,
                                       const IdFields &Fields) {
  const Json *Policy = member(Object, "policy");
  const auto Parsed = Policy ? readPolicy(*Policy) : std::nullopt;
  const Json *List = member(Object, "addresses");
  if (!Parsed || !List || !List->is_array())
    return std::nullopt;
  ServicePart Service{ServiceName(Fields.Service_), {}, *Parsed};
  for (const Json &Element : *List) {
    const auto Address = Element.is_string()
                             ? Endpoint::parse(Element.get<std::string>())
                             : std::nullopt;
    if (!Address)
      return std::nullopt;
    Service.Addresses_.push_back(*Address);
  }
  return Service;
}

} // namespace

PartId makePartId(const std::string &Service, const std::string &Domain,
                  const std::string &Text) {
  return PartId(Service + "." + Domain + "." + contentHash(Text));
}

PartPtr readPart(const PartId &Id, std::string Text, std::string &Reason) {
  const std::optional<IdFields> Fields = splitId(Id);
  if (!Fields || Fields->Service_.empty() || Fields->Domain_.empty()) {
    Reason = "malformed part id '" + Id.value() + "'";
    return nullptr;
  }
  if (makePartId(Fields->Service_, Fields->Domain_, Text) != Id) {
    Reason = "part '" + Id.value() + "' does not match its content hash";
    return nullptr;
  }
  Reason = "part '" + Id.value() + "' is malformed";
  const Json Object = Json::parse(Text, nullptr, false);
  auto Parsed = std::make_shared<Part>();
  Parsed->Text_ = std::move(Text);
  if (Fields->Service_ == "_") {
    const auto Region = textAt(Object, "region");
    if (!Region)
      return nullptr;
    Parsed->Content_ =
        FailureDomain{DomainName(Fields->Domain_), RegionName(*Region)};
  } else if (Fields->Domain_ == "_") {
    auto Content = readService(Object, *Fields);
    if (!Content)
      return nullptr;
    Parsed->Content_ = std::move(*Content);
  } else {
    auto Content = readUpstreams(Object, *Fields);
    if (!Content)
      return nullptr;
    Parsed->Content_ = std::move(*Content);
  }
  Reason.clear();
  return Parsed;
}

} // namespace medlarmoor::config
