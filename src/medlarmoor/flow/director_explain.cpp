#include <medlarmoor/flow/director.hpp>

#include <nlohmann/json.hpp>

namespace medlarmoor::flow {

namespace {

using Json = nlohmann::ordered_json;

std::string failure(const std::string &Reason) {
  return Json{{"error", Reason}}.dump();
}

/// Parses the two endpoints of a flow in the form "address:port-address:port".
std::optional<std::pair<Endpoint, Endpoint>> parseFlow(std::string_view Text) {
  const std::size_t Dash = Text.find('-');
  if (Dash == std::string_view::npos)
    return std::nullopt;
  const std::optional<Endpoint> Source = Endpoint::parse(Text.substr(0, Dash));
  const std::optional<Endpoint> Destination =
      Endpoint::parse(Text.substr(Dash + 1));
  if (!Source || !Destination)
    return std::nullopt;
  return std::pair(*Source, *Destination);
}

Json describeRecord(const FlowRecord &Record, const UpstreamState &Upstream) {
  return {{"upstream", Upstream.Config_.Name_.value()},
          {"phase", name(Upstream.Lifecycle_.phase())},
          {"rule", name(Record.Rule_)},
          {"copy", Record.has(FlowRecord::Replica)},
          {"replicated", Record.has(FlowRecord::Replicated)},
          {"closing", Record.has(FlowRecord::Closing)},
          {"chosenUnderConfig", Record.ConfigVersion_},
          {"chosenUnderViewLow16", Record.View_}};
}

} // namespace

std::string Director::explain(std::string_view Flow) {
  const auto Endpoints = parseFlow(Flow);
  if (!Endpoints)
    return failure("expected address:port-address:port");
  const std::optional<ServiceIndex> Index =
      Tracker_.services().find(Endpoints->second);
  if (!Index)
    return failure(name(DropReason::UnknownAddress));
  ServiceState &Service = Tracker_.services().at(*Index);
  const FlowId Id{*Index, hashFlow(Endpoints->first, Endpoints->second)};
  const membership::Member *Home = Homes_.home(Id, Service.seed());
  Json Result{{"flow", std::string(Flow)},
              {"service", Service.name().value()},
              {"entry", Homes_.view().self().value()},
              {"home", Home == nullptr ? "" : Home->Name_.value()},
              {"view", Homes_.view().id().value()},
              {"config", Tracker_.services().version().value()},
              {"tables", Service.generations().size()}};
  Result["awaits"] = Json::array();
  for (const EntryName &Name : Homes_.awaited())
    Result["awaits"].push_back(Name.value());
  if (const auto Default = Service.defaultOf(Id.Hash_))
    Result["default"] = Service.upstreams()[*Default].Config_.Name_.value();
  if (const FlowRecord *Record = Tracker_.table().find(Id))
    Result["record"] = describeRecord(*Record, Tracker_.upstreamOf(*Record));
  else
    Result["record"] = nullptr;
  return Result.dump();
}

} // namespace medlarmoor::flow
