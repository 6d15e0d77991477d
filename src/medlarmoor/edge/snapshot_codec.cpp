#include <medlarmoor/edge/snapshot_codec.hpp>

#include <nlohmann/json.hpp>

namespace medlarmoor::edge {

namespace {

using Json = nlohmann::json;
using discovery::Upstream;
using discovery::UpstreamChanges;
using routing::Route;
using routing::RouteChanges;
using routing::WeightedService;

Json pack(Endpoint Each) {
  return Json::array({Each.address().value(), Each.port()});
}

Endpoint readEndpoint(const Json &In) {
  return {Ipv4(In.at(0).get<std::uint32_t>()), In.at(1).get<std::uint16_t>()};
}

Json pack(const Upstream &Each) {
  return Json::array({Each.Name_.value(), Each.Service_.value(),
                      Each.Domain_.value(), pack(Each.Address_), Each.Identity_,
                      Each.Slots_, Each.Draining_, Each.WarmUp_.count(),
                      Each.StartedAt_.time_since_epoch().count(),
                      Each.CreatedAt_});
}

Upstream readUpstream(const Json &In) {
  Upstream Out;
  Out.Name_ = UpstreamName(In.at(0).get<std::string>());
  Out.Service_ = ServiceName(In.at(1).get<std::string>());
  Out.Domain_ = DomainName(In.at(2).get<std::string>());
  Out.Address_ = readEndpoint(In.at(3));
  Out.Identity_ = In.at(4).get<std::uint64_t>();
  Out.Slots_ = In.at(5).get<std::uint32_t>();
  Out.Draining_ = In.at(6).get<bool>();
  Out.WarmUp_ = Millis(In.at(7).get<std::int64_t>());
  Out.StartedAt_ = WallTime(Millis(In.at(8).get<std::int64_t>()));
  Out.CreatedAt_ = In.at(9).get<std::uint64_t>();
  return Out;
}

Json pack(const Route &Each) {
  Json Services = Json::array();
  for (const WeightedService &Share : Each.Services_)
    Services.push_back(Json::array({Share.Service_.value(), Share.Weight_}));
  return Json::array({Each.Name_, pack(Each.Address_), Services,
                      static_cast<unsigned>(Each.Kind_), Each.Timeout_.count(),
                      Each.LatencyObjective_.count(), Each.Priority_});
}

Route readRoute(const Json &In) {
  Route Out;
  Out.Name_ = In.at(0).get<std::string>();
  Out.Address_ = readEndpoint(In.at(1));
  for (const Json &Share : In.at(2))
    Out.Services_.push_back({ServiceName(Share.at(0).get<std::string>()),
                             Share.at(1).get<std::uint32_t>()});
  Out.Kind_ = static_cast<routing::RequestKind>(In.at(3).get<unsigned>());
  Out.Timeout_ = Millis(In.at(4).get<std::int64_t>());
  Out.LatencyObjective_ = Millis(In.at(5).get<std::int64_t>());
  Out.Priority_ = In.at(6).get<unsigned>();
  return Out;
}

Json packState(const peers::CollectionState &Each) {
  return {{"upto", Each.Upto_},
          {"changed", Each.Changed_},
          {"age_ms", Each.Age_.count()}};
}

peers::CollectionState readState(const Json &In) {
  return {In.at("upto").get<std::uint64_t>(),
          In.at("changed").get<std::uint64_t>(),
          Millis(In.at("age_ms").get<std::int64_t>())};
}

UpstreamChanges readUpstreams(const Json &In) {
  UpstreamChanges Out;
  Out.Whole_ = In.at("whole").get<bool>();
  for (const Json &Each : In.at("listed"))
    Out.Listed_.push_back(readUpstream(Each));
  for (const Json &Each : In.at("removed"))
    Out.Removed_.emplace_back(Each.get<std::string>());
  return Out;
}

RouteChanges readRoutes(const Json &In) {
  RouteChanges Out;
  Out.Whole_ = In.at("whole").get<bool>();
  Out.Version_ = ConfigVersion(In.at("version").get<std::uint64_t>());
  Out.IdleTimeout_ = Millis(In.at("idle_ms").get<std::int64_t>());
  for (const Json &Each : In.at("routes"))
    Out.Routes_.push_back(readRoute(Each));
  for (const Json &Each : In.at("removed"))
    Out.Removed_.push_back(readEndpoint(Each));
  return Out;
}

template <typename Changes, typename Reader>
std::optional<Snapshot<Changes>> read(const std::string &Text, Reader Read) {
  const Json In = Json::parse(Text, nullptr, false);
  if (!In.is_object())
    return std::nullopt;
  try {
    return Snapshot<Changes>{readState(In), Read(In)};
  } catch (const Json::exception &) {
    // Not a snapshot; the caller logs whose it was.
    return std::nullopt;
  }
}

} // namespace

std::string encode(const Snapshot<UpstreamChanges> &Each) {
  Json Out = packState(Each.State_);
  Out["whole"] = Each.Changes_.Whole_;
  Json &Listed = Out["listed"] = Json::array();
  for (const Upstream &Item : Each.Changes_.Listed_)
    Listed.push_back(pack(Item));
  Json &Removed = Out["removed"] = Json::array();
  for (const UpstreamName &Name : Each.Changes_.Removed_)
    Removed.push_back(Name.value());
  return Out.dump();
}

std::string encode(const Snapshot<RouteChanges> &Each) {
  Json Out = packState(Each.State_);
  Out["whole"] = Each.Changes_.Whole_;
  Out["version"] = Each.Changes_.Version_.value();
  Out["idle_ms"] = Each.Changes_.IdleTimeout_.count();
  Json &Routes = Out["routes"] = Json::array();
  for (const Route &Item : Each.Changes_.Routes_)
    Routes.push_back(pack(Item));
  Json &Removed = Out["removed"] = Json::array();
  for (const Endpoint Address : Each.Changes_.Removed_)
    Removed.push_back(pack(Address));
  return Out.dump();
}

std::optional<Snapshot<UpstreamChanges>>
readUpstreamChanges(const std::string &Text) {
  return read<UpstreamChanges>(Text, readUpstreams);
}

std::optional<Snapshot<RouteChanges>>
readRouteChanges(const std::string &Text) {
  return read<RouteChanges>(Text, readRoutes);
}

} // namespace medlarmoor::edge
