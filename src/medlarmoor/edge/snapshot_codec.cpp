#include <medlarmoor/edge/snapshot_codec.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>

namespace medlarmoor::edge {

namespace {

using Json = nlohmann::json;
using discovery::EvacuationChanges;
using discovery::Upstream;
using discovery::UpstreamChanges;
using routing::Route;
using routing::RouteChanges;
using routing::WeightedService;

/// Longer durations would overflow the clock.
constexpr Millis MaxDuration = std::chrono::hours(24);

/// Thrown when a value cannot be used.
struct Malformed {};

Millis readDuration(const Json &Source) {
  return std::clamp(Millis(Source.get<std::int64_t>()), Millis(0), MaxDuration);
}

Json pack(Endpoint Address) {
  return Json::array({Address.address().value(), Address.port()});
}

Endpoint readEndpoint(const Json &Source) {
  return {Ipv4(Source.at(0).get<std::uint32_t>()),
          Source.at(1).get<std::uint16_t>()};
}

Json pack(const Upstream &Packed) {
  return Json::array(
      {Packed.Name_.value(), Packed.Service_.value(), Packed.Domain_.value(),
       pack(Packed.Address_), Packed.Identity_, Packed.Slots_, Packed.Draining_,
       Packed.WarmUp_.count(), Packed.StartedAt_.time_since_epoch().count(),
       Packed.CreatedRevision_});
}

Upstream readUpstream(const Json &Source) {
  Upstream Parsed;
  Parsed.Name_ = UpstreamName(Source.at(0).get<std::string>());
  Parsed.Service_ = ServiceName(Source.at(1).get<std::string>());
  Parsed.Domain_ = DomainName(Source.at(2).get<std::string>());
  Parsed.Address_ = readEndpoint(Source.at(3));
  Parsed.Identity_ = Source.at(4).get<std::uint64_t>();
  Parsed.Slots_ = Source.at(5).get<std::uint32_t>();
  if (Parsed.Slots_ == 0)
    throw Malformed();
  Parsed.Draining_ = Source.at(6).get<bool>();
  Parsed.WarmUp_ = readDuration(Source.at(7));
  Parsed.StartedAt_ = WallTime(Millis(Source.at(8).get<std::int64_t>()));
  Parsed.CreatedRevision_ = Source.at(9).get<std::uint64_t>();
  return Parsed;
}

Json pack(const Route &Packed) {
  Json Services = Json::array();
  for (const WeightedService &Share : Packed.Services_)
    Services.push_back(Json::array({Share.Service_.value(), Share.Weight_}));
  return Json::array({Packed.Name_, pack(Packed.Address_), Services,
                      static_cast<unsigned>(Packed.Kind_),
                      Packed.Timeout_.count(), Packed.LatencyObjective_.count(),
                      Packed.Priority_});
}

Route readRoute(const Json &Source) {
  Route Parsed;
  Parsed.Name_ = Source.at(0).get<std::string>();
  Parsed.Address_ = readEndpoint(Source.at(1));
  for (const Json &Share : Source.at(2))
    Parsed.Services_.push_back({ServiceName(Share.at(0).get<std::string>()),
                                Share.at(1).get<std::uint32_t>()});
  if (Parsed.Services_.empty())
    throw Malformed();
  Parsed.Kind_ =
      static_cast<routing::RequestKind>(Source.at(3).get<unsigned>());
  Parsed.Timeout_ = readDuration(Source.at(4));
  Parsed.LatencyObjective_ = readDuration(Source.at(5));
  Parsed.Priority_ = Source.at(6).get<unsigned>();
  return Parsed;
}

Json pack(StoreRevision Packed) {
  return Json::array({Packed.Epoch_.value(), Packed.Number_});
}

StoreRevision readRevision(const Json &Source) {
  return {StoreEpoch(Source.at(0).get<std::uint64_t>()),
          Source.at(1).get<std::uint64_t>()};
}

Json packState(const peers::CollectionState &State) {
  return {{"upto", pack(State.Revision_)},
          {"changed", pack(State.LastChange_)},
          {"age_ms", State.Age_.count()},
          {"reader", pack(State.Reader_)}};
}

peers::CollectionState readState(const Json &Source) {
  return {readRevision(Source.at("upto")), readRevision(Source.at("changed")),
          readDuration(Source.at("age_ms")), readEndpoint(Source.at("reader"))};
}

UpstreamChanges readUpstreams(const Json &Source) {
  UpstreamChanges Parsed;
  Parsed.IsFullSnapshot_ = Source.at("whole").get<bool>();
  for (const Json &Entry : Source.at("listed"))
    Parsed.Listed_.push_back(readUpstream(Entry));
  for (const Json &Name : Source.at("removed"))
    Parsed.Removed_.emplace_back(Name.get<std::string>());
  // Instances of earlier versions do not send it.
  if (Source.contains("unreadable"))
    for (const Json &Name : Source.at("unreadable"))
      Parsed.Unreadable_.emplace_back(Name.get<std::string>());
  return Parsed;
}

routing::WarmUpRates readRates(const Json &Source) {
  routing::WarmUpRates Parsed;
  for (const Json &Entry : Source) {
    const auto Rate = Entry.at(1).get<double>();
    if (!(Rate > 0 && Rate <= routing::MaxWarmUpRate))
      throw Malformed();
    Parsed.emplace(Entry.at(0).get<std::string>(), Rate);
  }
  return Parsed;
}

RouteChanges readRoutes(const Json &Source) {
  RouteChanges Parsed;
  Parsed.IsFullSnapshot_ = Source.at("whole").get<bool>();
  Parsed.Base_ = ConfigVersion(Source.at("base").get<std::uint64_t>());
  Parsed.Version_ = ConfigVersion(Source.at("version").get<std::uint64_t>());
  Parsed.IdleTimeout_ = readDuration(Source.at("idle_ms"));
  for (const Json &Entry : Source.at("routes"))
    Parsed.Routes_.push_back(readRoute(Entry));
  for (const Json &Address : Source.at("removed"))
    Parsed.Removed_.push_back(readEndpoint(Address));
  // Instances of earlier versions do not send it.
  if (Source.contains("warm_up"))
    Parsed.WarmUpRates_ = readRates(Source.at("warm_up"));
  return Parsed;
}

EvacuationChanges readEvacuations(const Json &Source) {
  EvacuationChanges Parsed;
  Parsed.IsFullSnapshot_ = true;
  for (const Json &Domain : Source.at("domains"))
    Parsed.Listed_.emplace_back(Domain.get<std::string>());
  return Parsed;
}

template <typename Changes, typename Reader>
std::optional<Snapshot<Changes>> read(const std::string &Text, Reader Read) {
  const Json Source = Json::parse(Text, nullptr, false);
  if (!Source.is_object())
    return std::nullopt;
  try {
    return Snapshot<Changes>{readState(Source), Read(Source)};
  } catch (const Json::exception &) {
    // Not a snapshot; the caller logs which peer sent it.
    return std::nullopt;
  } catch (const Malformed &) {
    return std::nullopt;
  }
}

} // namespace

std::string encode(const Snapshot<UpstreamChanges> &Value) {
  Json Document = packState(Value.State_);
  Document["whole"] = Value.Changes_.IsFullSnapshot_;
  Json &Listed = Document["listed"] = Json::array();
  for (const Upstream &Item : Value.Changes_.Listed_)
    Listed.push_back(pack(Item));
  Json &Removed = Document["removed"] = Json::array();
  for (const UpstreamName &Name : Value.Changes_.Removed_)
    Removed.push_back(Name.value());
  Json &Unreadable = Document["unreadable"] = Json::array();
  for (const UpstreamName &Name : Value.Changes_.Unreadable_)
    Unreadable.push_back(Name.value());
  return Document.dump();
}

std::string encode(const Snapshot<RouteChanges> &Value) {
  Json Document = packState(Value.State_);
  Document["whole"] = Value.Changes_.IsFullSnapshot_;
  Document["base"] = Value.Changes_.Base_.value();
  Document["version"] = Value.Changes_.Version_.value();
  Document["idle_ms"] = Value.Changes_.IdleTimeout_.count();
  Json &Routes = Document["routes"] = Json::array();
  for (const Route &Item : Value.Changes_.Routes_)
    Routes.push_back(pack(Item));
  Json &Removed = Document["removed"] = Json::array();
  for (const Endpoint Address : Value.Changes_.Removed_)
    Removed.push_back(pack(Address));
  if (Value.Changes_.WarmUpRates_) {
    Json &Rates = Document["warm_up"] = Json::array();
    for (const auto &[Service, Rate] : *Value.Changes_.WarmUpRates_)
      Rates.push_back(Json::array({Service.value(), Rate}));
  }
  return Document.dump();
}

std::string encode(const Snapshot<EvacuationChanges> &Value) {
  Json Document = packState(Value.State_);
  Json &Domains = Document["domains"] = Json::array();
  for (const DomainName &Domain : Value.Changes_.Listed_)
    Domains.push_back(Domain.value());
  return Document.dump();
}

std::optional<Snapshot<UpstreamChanges>>
readUpstreamChanges(const std::string &Text) {
  return read<UpstreamChanges>(Text, readUpstreams);
}

std::optional<Snapshot<RouteChanges>>
readRouteChanges(const std::string &Text) {
  return read<RouteChanges>(Text, readRoutes);
}

std::optional<Snapshot<EvacuationChanges>>
readEvacuationChanges(const std::string &Text) {
  return read<EvacuationChanges>(Text, readEvacuations);
}

} // namespace medlarmoor::edge
